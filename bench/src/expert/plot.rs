use std::path::Path;

use plotters::prelude::*;

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (900, 420);
const COLORS: [RGBColor; 4] =
    [RGBColor(31, 119, 180), RGBColor(214, 39, 40), RGBColor(120, 120, 120), RGBColor(44, 160, 44)];

/// Named line of a plot.
pub struct Series<'a> {
    /// Name in the legend.
    pub name: &'a str,
    /// Points.
    pub points: Vec<(f64, f64)>,
}

/// Draws the lines as an SVG file, with their points as dots if `marks` is set.
///
/// # Errors
/// If the file can't be written.
pub fn draw(
    path: &Path,
    axes: (&str, &str),
    series: &[Series<'_>],
    marks: bool,
) -> Result<(), String> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|err| err.to_string())?;
    let points = || series.iter().flat_map(|line| line.points.iter().copied());
    let max = |values: &mut dyn Iterator<Item = f64>| values.fold(0.0, f64::max);
    let (right, top) =
        (max(&mut points().map(|point| point.0)), max(&mut points().map(|point| point.1)));
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..right.max(1e-9), 1.0..top.max(1.01))
        .map_err(|err| err.to_string())?;
    chart.configure_mesh().x_desc(axes.0).y_desc(axes.1).draw().map_err(|err| err.to_string())?;
    for (index, line) in series.iter().enumerate() {
        let color = COLORS[index % COLORS.len()];
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), color))
            .map_err(|err| err.to_string())?
            .label(line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        if marks {
            let dots = line.points.iter().map(|point| Circle::new(*point, 4, color.filled()));
            chart.draw_series(dots).map_err(|err| err.to_string())?;
        }
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|err| err.to_string())?;
    root.present().map_err(|err| err.to_string())
}

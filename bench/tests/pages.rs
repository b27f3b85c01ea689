//! The capacity page matches the recorded slopes that it is calculated from.

use ebonyusher::settings::parse;
use ebonyusher_bench::capacity::capacity_page;
use ebonyusher_bench::slopes::{Slope, SlopeFile};

const SLOPES: &str = include_str!("../../docs/slopes.json");
const PAGE: &str = include_str!("../../docs/CAPACITY.md");

#[test]
fn the_capacity_page_agrees_with_the_recorded_slopes() {
    let slopes: SlopeFile = parse(SLOPES).unwrap();

    let page = capacity_page(&slopes);

    assert!(page == PAGE, "run `ebonyusher-bench capacity --slopes docs/slopes.json`");
}

#[test]
fn the_recorded_slopes_are_fits_of_their_points() {
    let recorded: SlopeFile = parse(SLOPES).unwrap();

    for slope in &recorded.slopes {
        let fitted = Slope::fit(&slope.name, &slope.x, &slope.y, slope.points.clone());
        assert!((fitted.slope - slope.slope).abs() <= 1e-6 * slope.slope.abs().max(1e-6));
    }
}

#[test]
fn every_figure_of_the_page_has_its_slope() {
    let slopes: SlopeFile = parse(SLOPES).unwrap();

    assert!(!capacity_page(&slopes).contains("NaN"));
}

/// Row of the page: what a role spends on a mechanism, and its budget for that.
pub(super) struct Row {
    pub(super) role: &'static str,
    pub(super) mechanism: &'static str,
    pub(super) value: f64,
    pub(super) unit: &'static str,
    pub(super) budget: Option<f64>,
    /// Names of the slopes that the value is calculated from.
    pub(super) slope_names: &'static str,
}

/// Returns a row on CPU time for control, with its budget.
pub(super) fn control_cpu(role: &'static str, value: f64, slope_names: &'static str) -> Row {
    let mechanism = "links, link reports, settings: CPU";
    Row { role, mechanism, value, unit: "% of a core", budget: Some(2.6), slope_names }
}

/// Returns a row on control traffic, with its budget.
pub(super) fn control_bytes(role: &'static str, value: f64, slope_names: &'static str) -> Row {
    let mechanism = "links, link reports, settings: traffic";
    Row { role, mechanism, value, unit: "B/s", budget: Some(4_000.0), slope_names }
}

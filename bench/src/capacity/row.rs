/// One line of the page: what a role spends on a mechanism, and what it may spend.
pub(super) struct Row {
    pub(super) role: &'static str,
    pub(super) mechanism: &'static str,
    pub(super) value: f64,
    pub(super) unit: &'static str,
    pub(super) budget: Option<f64>,
    pub(super) slope_names: &'static str,
}

/// A line on processor time for control, against its budget.
pub(super) fn control_cpu(role: &'static str, value: f64, slope_names: &'static str) -> Row {
    let mechanism = "links, notes, settings: processor";
    Row { role, mechanism, value, unit: "% of a core", budget: Some(2.6), slope_names }
}

/// A line on traffic for control, against its budget.
pub(super) fn control_bytes(role: &'static str, value: f64, slope_names: &'static str) -> Row {
    let mechanism = "links, notes, settings: traffic";
    Row { role, mechanism, value, unit: "B/s", budget: Some(4_000.0), slope_names }
}

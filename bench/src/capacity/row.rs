/// One line of the page: what a role spends on a mechanism, and what it may spend.
pub(super) struct Row {
    pub(super) role: &'static str,
    pub(super) mechanism: &'static str,
    pub(super) figure: f64,
    pub(super) unit: &'static str,
    pub(super) budget: Option<f64>,
    pub(super) from: &'static str,
}

/// A line on processor time for control, against its budget.
pub(super) fn control_cpu(role: &'static str, figure: f64, from: &'static str) -> Row {
    let mechanism = "links, notes, settings: processor";
    Row { role, mechanism, figure, unit: "% of a core", budget: Some(2.6), from }
}

/// A line on traffic for control, against its budget.
pub(super) fn control_bytes(role: &'static str, figure: f64, from: &'static str) -> Row {
    let mechanism = "links, notes, settings: traffic";
    Row { role, mechanism, figure, unit: "B/s", budget: Some(4_000.0), from }
}

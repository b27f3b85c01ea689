use super::capacity_model::CapacityModel;
use super::row::Row;

impl CapacityModel<'_> {
    /// Returns the rows on load after mass restarts and outages, and on changes that reach all nodes.
    pub(super) fn exceptional_load_rows(&self) -> Vec<Row> {
        let row = |mechanism, value, unit, budget, slope_names| Row {
            role: "",
            mechanism,
            value,
            unit,
            budget,
            slope_names,
        };
        let sizes = &self.sizes;
        let full_settings = self.at("settings_bytes", sizes.accounts);
        let reads_at_start = sizes.teams + 1.0;
        // Nodes poll half as often while the table is unavailable. After its return their first polls
        // are spread over the poll interval.
        let reads_after_outage = self.reads() - self.slope("order_reads") * sizes.orders();
        vec![
            row(
                "all entries restart within a minute: reads of the table",
                sizes.entries * reads_at_start / 60.0 + self.reads(),
                "reads/s",
                Some(2_000.0),
                "entry_reads",
            ),
            row(
                "all entries restart within a minute: links opened at one sidecar",
                sizes.sidecar_links() / 60.0,
                "links/s",
                None,
                "sizes",
            ),
            row(
                "a fifth of the sidecars restarts within a minute: reads of the table",
                sizes.sidecars / 5.0 * reads_at_start / 60.0 + self.reads(),
                "reads/s",
                Some(2_000.0),
                "sidecar_reads",
            ),
            row(
                "the table is back after an outage of an hour: reads in the first second",
                reads_after_outage,
                "reads/s",
                Some(2_000.0),
                "entry_reads, sidecar_reads",
            ),
            row(
                "350 instances replaced a day: settings read by new nodes",
                full_settings * sizes.replaced_per_day / 86_400.0,
                "B/s in total",
                None,
                "settings_bytes",
            ),
            row(
                "a settings change that all nodes read: bytes from the table",
                self.at("settings_bytes", sizes.accounts / sizes.teams) * sizes.entries,
                "B",
                None,
                "settings_bytes",
            ),
            row(
                "a settings change that all nodes read: bytes that one entry sends to sidecars",
                self.at("settings_bytes", sizes.accounts / sizes.teams) * sizes.sidecars
                    / sizes.entries,
                "B",
                None,
                "settings_bytes",
            ),
        ]
    }
}

use super::capacity_model::CapacityModel;
use super::row::Row;

impl CapacityModel<'_> {
    /// What the platform and the nodes bear on bad days.
    pub(super) fn bad_days(&self) -> Vec<Row> {
        let row = |mechanism, figure, unit, budget, from| Row {
            role: "",
            mechanism,
            figure,
            unit,
            budget,
            from,
        };
        let sizes = &self.sizes;
        let tree = self.at("settings_bytes", sizes.accounts);
        let fresh = sizes.teams + 1.0;
        // While the store is down nodes poll half as often; when it is back the first polls come
        // spread over their intervals.
        let back = self.reads() - self.slope("order_reads") * sizes.orders();
        vec![
            row(
                "all entries restart within a minute: reads of the table",
                sizes.entries * fresh / 60.0 + self.reads(),
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
                sizes.sidecars / 5.0 * fresh / 60.0 + self.reads(),
                "reads/s",
                Some(2_000.0),
                "sidecar_reads",
            ),
            row(
                "the store is back after an hour: reads in the first second",
                back,
                "reads/s",
                Some(2_000.0),
                "entry_reads, sidecar_reads",
            ),
            row(
                "350 replaced a day: settings read by fresh nodes",
                tree * sizes.replaced_per_day / 86_400.0,
                "B/s over all",
                None,
                "settings_bytes",
            ),
            row(
                "a change to everybody: bytes from the table",
                self.at("settings_bytes", sizes.accounts / sizes.teams) * sizes.entries,
                "B",
                None,
                "settings_bytes",
            ),
            row(
                "a change to everybody: bytes that one entry gives to sidecars",
                self.at("settings_bytes", sizes.accounts / sizes.teams) * sizes.sidecars
                    / sizes.entries,
                "B",
                None,
                "settings_bytes",
            ),
        ]
    }
}

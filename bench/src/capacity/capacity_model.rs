use super::Sizes;
use super::row::{Row, control_bytes, control_cpu};
use crate::slopes::SlopeFile;

/// Interval of link reports when the slopes were measured.
const MEASURED_REPORT_SECONDS: f64 = 2.0;
/// Interval of the entries' polls when the slopes were measured.
const MEASURED_POLL_SECONDS: f64 = 1.0;
/// Assumed size of the headers of a request and its response, with TCP and IP overhead.
const EXCHANGE_BYTES: f64 = 350.0;
/// Requests of an entry to the platform in each poll: settings head, crashes, instance list.
const REQUESTS_PER_POLL: f64 = 3.0;
/// Changes of the instance list for each replaced instance: live, leaving, gone, new.
const LIST_CHANGES_PER_REPLACEMENT: f64 = 4.0;
/// Maximum bytes per second that an entry spends on reading changed instance lists.
const LIST_BUDGET: f64 = 1_200.0;
/// Duration of a group's lease.
const LEASE_SECONDS: f64 = 8.0;
/// Renewals of a lease within its duration.
const RENEWALS_PER_LEASE: f64 = 4.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
const MICROS_PER_PERCENT: f64 = 10_000.0;
const MEGABYTE: f64 = 1e6;

/// Accesses to the platform's table by one mechanism.
pub(super) struct TableUse {
    pub(super) mechanism: &'static str,
    /// Reads per second.
    pub(super) reads: f64,
    /// Writes per second.
    pub(super) writes: f64,
}

/// Calculates the rows of the page from measured slopes at the given sizes.
pub(super) struct CapacityModel<'a> {
    pub(super) sizes: Sizes,
    pub(super) slopes: &'a SlopeFile,
}

impl CapacityModel<'_> {
    /// Returns the increase of a slope per unit of its quantity, NaN if it was not measured.
    pub(super) fn slope(&self, name: &str) -> f64 {
        self.slopes.get(name).map_or(f64::NAN, |slope| slope.slope)
    }

    /// Returns the value of a slope at `x`, NaN if it was not measured.
    pub(super) fn at(&self, name: &str, x: f64) -> f64 {
        self.slopes.get(name).map_or(f64::NAN, |slope| slope.at(x))
    }

    /// Returns the ratio of the rate of link reports at these sizes to the measured rate.
    fn report_rate_factor(&self) -> f64 {
        MEASURED_REPORT_SECONDS / self.sizes.report_seconds()
    }

    /// Returns the percentage of a core that an entry spends on control.
    fn entry_control(&self) -> f64 {
        let links =
            self.slope("entry_idle_cpu") * self.sizes.entry_links() * self.report_rate_factor();
        let fixed = self.at("entry_idle_cpu", 0.0);
        let change = self.at("entry_change_cpu", self.sizes.accounts / self.sizes.teams);
        (links + fixed + change * self.sizes.changes_per_second()) / MICROS_PER_PERCENT
    }

    /// Returns the percentage of a core that a sidecar spends on control.
    fn sidecar_control(&self) -> f64 {
        let links =
            self.slope("sidecar_idle_cpu") * self.sizes.sidecar_links() * self.report_rate_factor();
        let fixed = self.at("sidecar_idle_cpu", 0.0);
        let change = self.at("sidecar_change_cpu", self.sizes.accounts / self.sizes.teams);
        (links + fixed + change * self.sizes.changes_per_second()) / MICROS_PER_PERCENT
    }

    fn entry_bytes(&self) -> f64 {
        let links =
            self.slope("entry_idle_bytes") * self.sizes.entry_links() * self.report_rate_factor();
        links + self.settings_bytes() + self.poll_bytes()
    }

    /// Returns the bytes per second of an entry's polls: mostly responses that report no change, and
    /// the whole instance list after a change of it. A long list is read less often, so that the
    /// lists take at most [`LIST_BUDGET`].
    fn poll_bytes(&self) -> f64 {
        let sizes = &self.sizes;
        let list = self.at("list_bytes", sizes.entries + sizes.sidecars);
        let changes = sizes.replaced_per_day * LIST_CHANGES_PER_REPLACEMENT / SECONDS_PER_DAY;
        REQUESTS_PER_POLL * EXCHANGE_BYTES / sizes.poll_seconds + (list * changes).min(LIST_BUDGET)
    }

    fn sidecar_bytes(&self) -> f64 {
        let links = self.slope("sidecar_idle_bytes") * self.sizes.sidecar_links();
        links * self.report_rate_factor() + self.settings_bytes()
    }

    /// Returns the bytes per second of settings that one node reads: only the subtree of the changed
    /// team.
    fn settings_bytes(&self) -> f64 {
        let subtree = self.at("settings_bytes", self.sizes.accounts / self.sizes.teams);
        subtree * self.sizes.changes_per_second()
    }

    fn step_admission_cpu(&self) -> f64 {
        self.at("enter_cpu", self.sizes.layers) * self.sizes.steps / MICROS_PER_PERCENT
    }

    fn plan_micros(&self) -> f64 {
        self.at("plan_cpu_layers", self.sizes.layers)
    }

    /// Returns the reads of the platform's table per second, over all mechanisms.
    pub(super) fn reads(&self) -> f64 {
        self.table_use().iter().map(|line| line.reads).sum()
    }

    fn writes(&self) -> f64 {
        self.table_use().iter().map(|line| line.writes).sum()
    }

    /// Returns the rows on control, by role.
    pub(super) fn control_rows(&self) -> Vec<Row> {
        let mut rows = self.entry_rows();
        rows.extend(self.sidecar_rows());
        rows.extend(self.group_rows());
        rows.extend(self.store_rows());
        rows
    }

    fn entry_rows(&self) -> Vec<Row> {
        let (cpu, bytes) = (self.entry_control(), self.entry_bytes());
        vec![
            control_cpu("entry", cpu, "entry_idle_cpu, entry_change_cpu"),
            Row {
                mechanism: "links, link reports, settings, polls: traffic",
                ..control_bytes("entry", bytes, "entry_idle_bytes, settings_bytes, list_bytes")
            },
            self.memory_row("entry"),
        ]
    }

    fn sidecar_rows(&self) -> Vec<Row> {
        let (cpu, bytes) = (self.sidecar_control(), self.sidecar_bytes());
        vec![
            control_cpu("sidecar", cpu, "sidecar_idle_cpu, sidecar_change_cpu"),
            control_bytes("sidecar", bytes, "sidecar_idle_bytes, settings_bytes"),
            self.memory_row("sidecar"),
        ]
    }

    fn memory_row(&self, role: &'static str) -> Row {
        Row {
            role,
            mechanism: "settings in use: memory",
            value: self.at("settings_memory", self.sizes.accounts) / MEGABYTE,
            unit: "MB",
            budget: Some(128.0),
            slope_names: "settings_memory",
        }
    }

    fn group_rows(&self) -> Vec<Row> {
        let ranks = self.sizes.ranks;
        let stats = self.at("stats_bytes", self.sizes.layers) * ranks / self.sizes.plan_seconds;
        let planning = self.plan_micros() / self.sizes.plan_seconds / MICROS_PER_PERCENT;
        let leader = "sidecar that leads a group";
        vec![
            Row {
                mechanism: "step admission: CPU",
                ..control_cpu("sidecar of a rank", self.step_admission_cpu(), "enter_cpu")
            },
            Row { mechanism: "planning: CPU", ..control_cpu(leader, planning, "plan_cpu_layers") },
            Row {
                role: leader,
                mechanism: "one plan: time",
                value: self.plan_micros() / 1e3,
                unit: "ms",
                budget: Some(100.0),
                slope_names: "plan_cpu_layers",
            },
            Row {
                mechanism: "token counts of all ranks: traffic",
                ..control_bytes(leader, stats, "stats_bytes")
            },
        ]
    }

    fn store_rows(&self) -> Vec<Row> {
        let spread = self.at("settings_spread", self.sizes.accounts) / 1e3;
        let row = |role, mechanism, value, unit, budget, slope_names| {
            let budget = Some(budget);
            Row { role, mechanism, value, unit, budget, slope_names }
        };
        let table = "platform's table";
        let readers = "entry_reads, sidecar_reads, order_reads";
        vec![
            row(table, "reads", self.reads(), "reads/s", 2_000.0, readers),
            row(table, "writes", self.writes(), "writes/s", 300.0, "order_writes"),
            row(
                "all",
                "a settings change, until applied everywhere",
                spread,
                "s",
                19.0,
                "settings_spread",
            ),
        ]
    }

    /// Returns the reads and writes of the platform's table per second, by mechanism.
    pub(super) fn table_use(&self) -> Vec<TableUse> {
        let sizes = &self.sizes;
        let polls = MEASURED_POLL_SECONDS / sizes.poll_seconds;
        let entries = self.slope("entry_reads") * sizes.entries * polls;
        let sidecars = self.slope("sidecar_reads").max(0.0) * sizes.sidecars;
        let orders = sizes.orders();
        // Processes without the lease check it again after about half its duration.
        let lease_checks = sizes.sidecars / (LEASE_SECONDS / 2.0);
        let renewals = sizes.services * RENEWALS_PER_LEASE / LEASE_SECONDS;
        let line = |mechanism, reads, writes| TableUse { mechanism, reads, writes };
        vec![
            line("entries: settings head, crashes", entries, 0.0),
            line("sidecars: settings head, as a fallback", sidecars, 0.0),
            line(
                "orders: claim and completion",
                self.slope("order_reads") * orders,
                self.slope("order_writes") * orders,
            ),
            line("group leases, if every service is a group", lease_checks + renewals, renewals),
            line(
                "settings changes",
                sizes.changes_per_second() * sizes.entries,
                sizes.changes_per_second(),
            ),
        ]
    }

    /// Returns the rows on requests and tokens, by role.
    pub(super) fn data_rows(&self) -> Vec<Row> {
        let row = |role, mechanism, value, slope_names| Row {
            role,
            mechanism,
            value,
            unit: "% of a core",
            budget: None,
            slope_names,
        };
        let share = |name: &str, total: f64, nodes: f64| {
            self.slope(name) * total / nodes / MICROS_PER_PERCENT
        };
        let Sizes { entries, sidecars, requests, tokens, .. } = self.sizes;
        vec![
            row(
                "entry",
                "requests",
                share("entry_request_cpu", requests, entries),
                "entry_request_cpu",
            ),
            row("entry", "tokens", share("entry_token_cpu", tokens, entries), "entry_token_cpu"),
            row(
                "sidecar",
                "requests",
                share("sidecar_request_cpu", requests, sidecars),
                "sidecar_request_cpu",
            ),
            row(
                "sidecar",
                "tokens",
                share("sidecar_token_cpu", tokens, sidecars),
                "sidecar_token_cpu",
            ),
        ]
    }
}

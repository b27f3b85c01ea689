use std::sync::Arc;

use tokio::time::Instant;

use crate::direct::event::Event;
use crate::direct::{ColdChange, DirectMeter, ListedUpstream, Routing, UpstreamLimits};
use crate::event_log::{EventLog, Level};
use crate::units::millis;

/// Applies what the platform tells of cold upstreams.
#[derive(Clone, Debug)]
pub(in crate::direct) struct ColdUpdates {
    pub(in crate::direct) limits: Arc<UpstreamLimits>,
    pub(in crate::direct) meter: Arc<DirectMeter>,
    pub(in crate::direct) log: EventLog,
}

impl ColdUpdates {
    /// Applies the settings.
    pub(super) fn set_starts(&self, routing: &Routing) {
        let starts = routing.services().filter_map(|service| {
            let start = service.cold?;
            Some((service.name.clone(), start))
        });
        let changes = self.limits.set_cold_starts(starts.collect(), Instant::now());
        changes.iter().for_each(|change| self.log_change(change));
    }

    /// Applies a listing.
    pub(super) fn list(&self, listed: &ListedUpstream) {
        if let Some(change) = self.limits.list(listed, Instant::now()) {
            self.log_change(&change);
        }
    }

    fn log_change(&self, change: &ColdChange) {
        let ColdChange { upstream, time, rate, source } = change;
        let (for_ms, source) = (millis(*time), source.as_str());
        self.log.write(Level::Info, &Event::Cold { upstream, for_ms, rate: *rate, source });
    }

    /// Counts the cold upstreams.
    pub(super) fn count(&self) {
        self.meter.cold_upstreams(self.limits.cold_len(Instant::now()));
    }
}

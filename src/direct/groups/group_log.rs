use std::time::Duration;

use tokio::time::Instant;

use super::GroupState;
use crate::direct::checked_request::CheckedRequest;
use crate::direct::dispatcher::Dispatcher;
use crate::direct::event::Event;
use crate::event_log::Level;
use crate::units::millis;

impl Dispatcher {
    /// Records that a group has been silent for this time although it has requests.
    pub(in crate::direct) fn record_stall(
        &self,
        request: &CheckedRequest,
        group: &GroupState,
        silence: Option<Duration>,
        now: Instant,
    ) {
        if group.recovery.record_failure(now) {
            self.log_group(request, group, "stalled", silence);
        }
    }

    /// Records that a rank on which nothing runs or waits has refused a request. Returns after which
    /// time the caller is to return, if this shows that the group does not run.
    pub(in crate::direct) fn record_idle_refusal(
        &self,
        request: &CheckedRequest,
        group: &GroupState,
        upstream: &str,
    ) -> Option<Duration> {
        let now = Instant::now();
        let retry_after = group.outage.record_refusal(upstream, now)?;
        if group.recovery.record_failure(now) {
            self.log_group(request, group, "refuses", None);
        }
        Some(retry_after)
    }

    /// Records that a group runs a request.
    pub(in crate::direct) fn record_progress(&self, request: &CheckedRequest, group: &GroupState) {
        let down_time = group.recovery.record_response(Instant::now());
        if down_time.is_some() {
            self.log_group(request, group, "runs", down_time);
        }
    }

    /// Logs whether a group runs, if there are several.
    fn log_group(
        &self,
        request: &CheckedRequest,
        group: &GroupState,
        state: &str,
        time: Option<Duration>,
    ) {
        if self.group_directory.is_empty() {
            return;
        }
        let event = Event::GroupState {
            service: &request.service.name,
            group: group.name.as_str(),
            state,
            for_ms: time.map(millis),
        };
        self.log.write(Level::Info, &event);
    }
}

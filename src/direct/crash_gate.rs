use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::checked_request::CheckedRequest;
use super::dispatcher::Dispatcher;
use super::quarantine::{CrashSign, MAX_CRASHES};
use super::{CrashStatus, Quarantine, Service, Upstream};
use crate::direct::attempts::AttemptHistory;
use crate::direct::responses::StreamProgress;
use crate::outcome::{Reason, Refusal};

/// Retry-after time of a quarantined request that could not be tried though a trial is due.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(2);

impl Dispatcher {
    /// Suspects a request of the crash that the end of its attempt is a sign of.
    pub(super) fn suspect(
        &self,
        request: &CheckedRequest,
        upstream: &Arc<Upstream>,
        started: Instant,
        sign: CrashSign,
        progress: StreamProgress,
    ) {
        self.log_suspected(request, upstream, sign, progress);
        self.crash_recorder.suspect(upstream, request.fingerprint, started, sign);
    }

    /// Waits until it is known whether the upstream has crashed, if the request would then be
    /// quarantined and get no further attempt.
    pub(super) async fn await_verdict(
        &self,
        request: &CheckedRequest,
        history: &mut AttemptHistory,
        upstream: &Upstream,
        sign: CrashSign,
    ) {
        if sign != CrashSign::ConnectionBroken {
            return;
        }
        history.broken += 1;
        let crashes = self.crash_recorder.crashes.count(request.fingerprint);
        if crashes + history.broken >= crash_limit(&request.service) {
            self.crash_recorder.probe(upstream).await;
        }
    }

    /// Refuses a request that is quarantined. Returns its quarantine if a trial is due.
    pub(super) fn check_quarantine(
        &self,
        request: &CheckedRequest,
        history: &AttemptHistory,
    ) -> Result<Option<Quarantine>, Refusal> {
        if history.may_continue_trial() {
            return Ok(None);
        }
        let limit = crash_limit(&request.service);
        match self.crash_recorder.crashes.status(request.fingerprint, limit, Instant::now()) {
            CrashStatus::Clear => Ok(None),
            CrashStatus::TrialDue(quarantine) => Ok(Some(quarantine)),
            CrashStatus::Quarantined(quarantine) => {
                Err(self.refuse_quarantined(request, history, &quarantine))
            }
        }
    }

    /// Claims the trial of a request that is due, or refuses the request.
    pub(super) async fn claim_trial(
        &self,
        request: &CheckedRequest,
        history: &mut AttemptHistory,
        due: Quarantine,
    ) -> Result<(), Refusal> {
        if self.crash_recorder.trials.claim(request.fingerprint).await {
            history.has_trial = true;
            return Ok(());
        }
        // The claim may have shown that another entry makes the trial.
        self.check_quarantine(request, history)?;
        let retry = Quarantine { left: TRIAL_RETRY_AFTER, ..due };
        Err(self.refuse_quarantined(request, history, &retry))
    }

    fn refuse_quarantined(
        &self,
        request: &CheckedRequest,
        history: &AttemptHistory,
        quarantine: &Quarantine,
    ) -> Refusal {
        self.log_quarantined(request, quarantine);
        history.refusal(Reason::Poison).retry_after(quarantine.left)
    }

    /// Removes the crash record of a request that has completed.
    pub(super) fn clear_crashes(&self, request: &CheckedRequest) {
        if let Some(crashes) = self.crash_recorder.crashes.clear(request.fingerprint) {
            self.log_cleared(request, crashes);
        }
    }
}

/// Returns the number of crashes from which a request of a service is quarantined. The crash of a
/// rank takes its whole group away for seconds, so one fewer is borne there.
fn crash_limit(service: &Service) -> u32 {
    let is_group = service.engine.is_some_and(|engine| engine.experts.is_some());
    if is_group { MAX_CRASHES - 1 } else { MAX_CRASHES }
}

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::checked_request::CheckedRequest;
use super::dispatcher::Dispatcher;
use super::quarantine::{CrashSign, MAX_CRASHES, SuspectedAttempt};
use super::{CrashStatus, Quarantine, Service, Upstream};
use crate::direct::attempts::AttemptHistory;
use crate::direct::responses::StreamProgress;
use crate::outcome::{Reason, Refusal};

/// Retry-after time of a quarantined request that could not be tried though a trial is due.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A trial that is due, of a request or of a part of its prompt.
#[derive(Clone, Copy, Debug)]
pub(super) struct DueTrial {
    /// Fingerprint of what is quarantined.
    key: u64,
    quarantine: Quarantine,
}

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
        let attempt = SuspectedAttempt {
            keys: request.crash_keys.clone(),
            progressed: progress.has_gone_on(),
            sign,
            started,
            ended: Instant::now(),
        };
        self.crash_recorder.suspect(upstream, attempt);
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
        let known = &self.crash_recorder.crashes;
        let crashes = request.crash_keys.iter().map(|key| known.count(key)).max().unwrap_or(0);
        if crashes + history.broken >= crash_limit(&request.service) {
            self.crash_recorder.probe(upstream).await;
        }
    }

    /// Refuses a request that is quarantined, by itself or by a part of its prompt. Returns for what
    /// a trial is due, if one is.
    pub(super) fn check_quarantine(
        &self,
        request: &CheckedRequest,
        history: &AttemptHistory,
    ) -> Result<Option<DueTrial>, Refusal> {
        if history.may_continue_trial() {
            return Ok(None);
        }
        let limit = crash_limit(&request.service);
        let (key, status) =
            self.crash_recorder.crashes.judge(&request.crash_keys, limit, Instant::now());
        match status {
            CrashStatus::Clear => Ok(None),
            CrashStatus::TrialDue(quarantine) => Ok(Some(DueTrial { key, quarantine })),
            CrashStatus::Quarantined(quarantine) => {
                Err(self.refuse_quarantined(request, history, key, &quarantine))
            }
        }
    }

    /// Claims the trial of a request that is due, or refuses the request.
    pub(super) async fn claim_trial(
        &self,
        request: &CheckedRequest,
        history: &mut AttemptHistory,
        due: DueTrial,
    ) -> Result<(), Refusal> {
        if self.crash_recorder.trials.claim(due.key).await {
            history.has_trial = true;
            return Ok(());
        }
        // The claim may have shown that another entry makes the trial.
        self.check_quarantine(request, history)?;
        let retry = Quarantine { left: TRIAL_RETRY_AFTER, ..due.quarantine };
        Err(self.refuse_quarantined(request, history, due.key, &retry))
    }

    fn refuse_quarantined(
        &self,
        request: &CheckedRequest,
        history: &AttemptHistory,
        key: u64,
        quarantine: &Quarantine,
    ) -> Refusal {
        self.log_quarantined(request, key, quarantine);
        history.refusal(Reason::Poison).retry_after(quarantine.left)
    }

    /// Removes the crash records of a request that has completed, and of the parts of its prompt.
    pub(super) fn clear_crashes(&self, request: &CheckedRequest) {
        if let Some(crashes) = self.crash_recorder.crashes.clear(&request.crash_keys) {
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

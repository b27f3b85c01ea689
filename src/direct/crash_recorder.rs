use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use super::connection::Connection;
use super::dispatch_log::hex;
use super::event::Event;
use super::request_tracker::millis;
use super::trial::Trials;
use super::{CrashedAttempt, Crashes, Upstream};
use crate::event_log::{EventLog, Level};

/// Time between a connection's break and the check whether its upstream still listens, since a
/// process that exits may close its connections before its listening socket.
const PROBE_DELAY: Duration = Duration::from_millis(50);

/// Why an attempt is suspected to have been in flight as its upstream crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CrashSign {
    /// The connection broke while the request ran.
    ConnectionBroken,
    /// The upstream sent nothing until the entry gave up.
    Silence,
}

impl CrashSign {
    /// Returns the sign's name in the log.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionBroken => "connection broken",
            Self::Silence => "silence",
        }
    }
}

/// Finds out which requests were in flight as upstreams crashed.
///
/// An attempt that ends with a [`CrashSign`] is suspected. It counts once its upstream is known to
/// have ended: it refuses connections, or the platform lists it no longer or as started anew.
#[derive(Debug)]
pub(super) struct CrashRecorder {
    pub(super) crashes: Arc<Crashes>,
    pub(super) trials: Trials,
    pub(super) log: EventLog,
}

impl CrashRecorder {
    /// Suspects a request of the crash that the end of its attempt is a sign of, and starts to
    /// check whether the upstream has crashed.
    pub(super) fn suspect(
        self: &Arc<Self>,
        upstream: &Arc<Upstream>,
        fingerprint: u64,
        started: Instant,
        sign: CrashSign,
    ) {
        let attempt = CrashedAttempt { started, ended: Instant::now() };
        upstream.suspect(fingerprint, attempt);
        if sign == CrashSign::ConnectionBroken && upstream.begin_probe() {
            let (recorder, upstream) = (Arc::clone(self), Arc::clone(upstream));
            tokio::spawn(async move { recorder.probe(&upstream).await });
        }
        if upstream.begin_watch() {
            tokio::spawn(Arc::clone(self).watch(Arc::clone(upstream)));
        }
    }

    /// Checks whether the upstream still listens. The connection is kept for later requests.
    pub(super) async fn probe(&self, upstream: &Upstream) {
        sleep(PROBE_DELAY).await;
        upstream.end_probe();
        match Connection::open(upstream.addr()).await {
            Ok(conn) => upstream.put_idle(conn.into_idle(None)),
            Err(err) => self.record_failed_connection(upstream, &err),
        }
    }

    /// Waits until the platform's list tells that the upstream has ended, as long as any request is
    /// suspected.
    async fn watch(self: Arc<Self>, upstream: Arc<Upstream>) {
        while let Some(until) = upstream.suspected_until() {
            tokio::select! {
                () = upstream.ended() => self.record_crash(&upstream, "no longer listed"),
                () = sleep_until(until) => {}
            }
        }
    }

    /// Records a crash if a connection failed because the upstream does not listen. A timeout proves
    /// nothing: the way to the upstream may be cut.
    pub(super) fn record_failed_connection(&self, upstream: &Upstream, err: &io::Error) {
        if err.kind() == io::ErrorKind::ConnectionRefused {
            self.record_crash(upstream, "connection refused");
        }
    }

    /// Records that the upstream has crashed, for the requests that are suspected.
    fn record_crash(&self, upstream: &Upstream, proof: &str) {
        for (fingerprint, attempt) in upstream.take_suspects() {
            let crashes = self.crashes.record(fingerprint, attempt);
            self.log_crash(upstream, fingerprint, attempt, crashes, proof);
        }
    }

    fn log_crash(
        &self,
        upstream: &Upstream,
        fingerprint: u64,
        attempt: CrashedAttempt,
        crashes: Option<u32>,
        proof: &str,
    ) {
        let ran_ms = millis(attempt.ended.saturating_duration_since(attempt.started));
        let ended_ms_ago = millis(attempt.ended.elapsed());
        let (domain, fingerprint) = (upstream.listed.domain.as_str(), hex(fingerprint));
        let upstream = &upstream.listed.id;
        let reason = "in flight with a counted attempt";
        let event = match crashes {
            Some(crashes) => Event::Crashed {
                upstream,
                domain,
                fingerprint,
                crashes,
                proof,
                ran_ms,
                ended_ms_ago,
            },
            None => Event::CrashNotCounted {
                upstream,
                domain,
                fingerprint,
                reason,
                ran_ms,
                ended_ms_ago,
            },
        };
        self.log.write(Level::Warn, &event);
    }
}

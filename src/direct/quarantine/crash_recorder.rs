use std::cmp::Reverse;
use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use rand::seq::IndexedRandom;
use tokio::time::{Instant, sleep, sleep_until};

use super::Crashes;
use super::crash::SuspectedAttempt;
use super::hex::hex;
use super::trial::Trials;
use crate::direct::attempts::Connection;
use crate::direct::event::Event;
use crate::direct::{Roster, Upstream};
use crate::event_log::{EventLog, Level};
use crate::units::millis;

/// Time between a connection's break and the check whether its upstream still listens, since a
/// process that exits may close its connections before its listening socket.
const PROBE_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of upstreams of a failure domain that are asked whether they live.
const MAX_WITNESSES: usize = 3;
/// Maximum number of parts of prompts that one crash is counted against.
const MAX_PARTS: usize = 64;

/// Why an attempt is suspected to have been in flight as its upstream crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::direct) enum CrashSign {
    /// The connection broke while the request ran.
    ConnectionBroken,
    /// The upstream sent nothing until the entry gave up.
    Silence,
}

impl CrashSign {
    /// Returns the sign's name in the log.
    pub(in crate::direct) const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionBroken => "connection broken",
            Self::Silence => "silence",
        }
    }
}

/// What shows that an upstream has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrashProof {
    /// It refuses connections.
    ConnectionRefused,
    /// The platform lists it no longer, or as started anew.
    NoLongerListed,
}

impl CrashProof {
    /// Returns the proof's name in the log.
    const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionRefused => "connection refused",
            Self::NoLongerListed => "no longer listed",
        }
    }
}

/// Finds out which requests were in flight as upstreams crashed.
///
/// An attempt that ends with a [`CrashSign`] is suspected. It counts once its upstream is known to
/// have ended: it refuses connections, or the platform lists it no longer or as started anew.
#[derive(Debug)]
pub(in crate::direct) struct CrashRecorder {
    pub(in crate::direct) crashes: Arc<Crashes>,
    pub(in crate::direct) roster: Arc<Roster>,
    pub(in crate::direct) trials: Trials,
    pub(in crate::direct) log: EventLog,
}

impl CrashRecorder {
    /// Suspects a request of the crash that the end of its attempt is a sign of, and starts to
    /// check whether the upstream has crashed.
    pub(in crate::direct) fn suspect(
        self: &Arc<Self>,
        upstream: &Arc<Upstream>,
        attempt: SuspectedAttempt,
    ) {
        let sign = attempt.sign;
        upstream.suspects.add(attempt);
        if sign == CrashSign::ConnectionBroken && upstream.suspects.begin_probe() {
            let (recorder, upstream) = (Arc::clone(self), Arc::clone(upstream));
            tokio::spawn(async move { recorder.probe(&upstream).await });
        }
        if upstream.suspects.begin_watch() {
            tokio::spawn(Arc::clone(self).watch(Arc::clone(upstream)));
        }
    }

    /// Checks whether the upstream still listens.
    pub(in crate::direct) async fn probe(&self, upstream: &Upstream) {
        sleep(PROBE_DELAY).await;
        upstream.suspects.end_probe();
        let begin = Instant::now();
        match reconnect(upstream).await {
            Ok(()) => self.record_survival(upstream, begin),
            Err(err) if is_refused(&err) => self.record_refused(upstream).await,
            Err(_) => {}
        }
    }

    /// Returns whether an upstream has outlived the end of a connection, as far as can be told.
    pub(in crate::direct) async fn outlives(&self, upstream: &Upstream) -> bool {
        sleep(PROBE_DELAY).await;
        reconnect(upstream).await.map_or_else(|err| !is_refused(&err), |()| true)
    }

    /// Records that the upstream outlived the answers that broke off before a time.
    fn record_survival(&self, upstream: &Upstream, time: Instant) {
        for keys in upstream.suspects.progressed_before(time) {
            self.crashes.record_survival(&keys, &upstream.listed);
        }
    }

    /// Waits until the platform's list tells that the upstream has ended, as long as any request is
    /// suspected.
    async fn watch(self: Arc<Self>, upstream: Arc<Upstream>) {
        while let Some(until) = upstream.suspects.watch_until() {
            tokio::select! {
                // Upstreams that start anew may listen by now, so none is asked whether it lives.
                () = upstream.ended() => {
                    self.record_crash(&upstream, CrashProof::NoLongerListed, false);
                }
                () = sleep_until(until) => {}
            }
        }
    }

    /// Records a crash if a connection failed because the upstream does not listen.
    pub(in crate::direct) fn record_failed_connection(
        self: &Arc<Self>,
        upstream: &Arc<Upstream>,
        err: &io::Error,
    ) {
        if is_refused(err) && upstream.suspects.since().is_some() {
            let (recorder, upstream) = (Arc::clone(self), Arc::clone(upstream));
            tokio::spawn(async move { recorder.record_refused(&upstream).await });
        }
    }

    async fn record_refused(&self, upstream: &Upstream) {
        if let Some(since) = upstream.suspects.since() {
            let isolated = self.is_domain_alive(upstream, since).await;
            self.record_crash(upstream, CrashProof::ConnectionRefused, isolated);
        }
    }

    /// Returns whether another upstream of the failure domain, known since before the crash, lives.
    /// Those at which the same request is suspected are not asked: it may have crashed them too.
    async fn is_domain_alive(&self, upstream: &Upstream, crashed: Instant) -> bool {
        let fits = |peer: &Upstream| {
            peer.is_known_before(crashed)
                && !peer.is_draining()
                && !upstream.suspects.shares_any(&peer.suspects)
        };
        let peers = self.roster.domain_peers(upstream, fits);
        let asked = peers.choose_multiple(&mut rand::rng(), MAX_WITNESSES);
        let answers = join_all(asked.map(|peer| peer.accepts_connections())).await;
        answers.contains(&true)
    }

    /// Records that the upstream has crashed, for the requests that are suspected.
    fn record_crash(&self, upstream: &Upstream, proof: CrashProof, isolated: bool) {
        let attempts = upstream.suspects.take();
        for attempt in &attempts {
            self.record_key(upstream, attempt.keys.request, attempt, proof, isolated);
        }
        for (part, attempt) in shared_parts(&attempts) {
            self.record_key(upstream, part, attempt, proof, isolated);
        }
    }

    fn record_key(
        &self,
        upstream: &Upstream,
        key: u64,
        attempt: &SuspectedAttempt,
        proof: CrashProof,
        isolated: bool,
    ) {
        let crash = attempt.crash(&upstream.listed, isolated);
        let crashes = self.crashes.record(key, crash, attempt.ended);
        self.log_crash(upstream, key, attempt, crashes, proof);
    }

    fn log_crash(
        &self,
        upstream: &Upstream,
        fingerprint: u64,
        attempt: &SuspectedAttempt,
        crashes: Option<u32>,
        proof: CrashProof,
    ) {
        let ran_ms = millis(attempt.ended.saturating_duration_since(attempt.started));
        let ended_ms_ago = millis(attempt.ended.elapsed());
        let (domain, fingerprint) = (upstream.listed.domain.as_str(), hex(fingerprint));
        let (upstream, proof) = (&upstream.listed.id, proof.as_str());
        let reason =
            "known, explained by the loss of the failure domain, or shortly after a completion";
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

/// Opens a connection to an upstream and keeps it for later requests.
async fn reconnect(upstream: &Upstream) -> io::Result<()> {
    let conn = Connection::open(upstream.addr()).await?;
    upstream.put_idle(conn.into_idle(None));
    Ok(())
}

/// Returns the parts of the prompts of attempts, each once, with the attempt that began first.
/// Beyond [`MAX_PARTS`] those that are in fewest of the prompts are left out.
fn shared_parts(attempts: &[SuspectedAttempt]) -> Vec<(u64, &SuspectedAttempt)> {
    let mut parts: HashMap<u64, (usize, &SuspectedAttempt)> = HashMap::new();
    for attempt in attempts {
        for part in &attempt.keys.parts {
            let (count, first) = parts.entry(*part).or_insert((0, attempt));
            *count += 1;
            if attempt.started < first.started {
                *first = attempt;
            }
        }
    }
    let mut parts: Vec<_> = parts.into_iter().collect();
    parts.sort_unstable_by_key(|(part, (count, _))| (Reverse(*count), *part));
    parts.into_iter().take(MAX_PARTS).map(|(part, (_, first))| (part, first)).collect()
}

/// Returns whether an upstream does not listen. A timeout does not tell: the way to it may be cut.
fn is_refused(err: &io::Error) -> bool {
    err.kind() == io::ErrorKind::ConnectionRefused
}

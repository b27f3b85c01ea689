use std::collections::{HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use super::share::Share;
use crate::direct::{ColdStart, ListedUpstream};

/// Time for which the computed share of an entry is used, since it takes a hash for each entry.
const SHARE_AGE: Duration = Duration::from_secs(1);
/// Number of entries that share the rate of a cold upstream, per request per second of it. Each may
/// send one request at any time within its share, in addition to the rate. The platform bears 1.5
/// times the rate and 5 requests more in any second, also from entries that don't know the others.
const ENTRIES_PER_RATE: f64 = 0.25;
/// Number of entries that share the rate in addition, so that low rates are used as well.
const MORE_ENTRIES: f64 = 3.0;
/// Maximum number of incarnations on record that are not new.
const MAX_SEEN: usize = 4_096;

/// Why an upstream is taken for cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdSource {
    /// The platform's list says so.
    Listing,
    /// It is new while its service has requests.
    New,
}

impl ColdSource {
    /// Returns the source's name in the log.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Listing => "listing",
            Self::New => "new",
        }
    }
}

/// An upstream that has become cold.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdChange {
    /// Id of the upstream.
    pub upstream: String,
    /// For how long.
    pub time: Duration,
    /// Requests per second from all entries together.
    pub rate: f64,
    /// Why it is taken for cold.
    pub source: ColdSource,
}

/// The upstreams that are cold: for some time after its start an upstream gets only a limited rate of
/// requests.
#[derive(Debug, Default)]
pub(super) struct ColdUpstreams {
    /// Settings by service. Upstreams of other services are never cold.
    starts: HashMap<String, ColdStart>,
    upstreams: HashMap<String, ColdUpstream>,
    /// Services of which this entry has sent a request.
    served: HashSet<String>,
    /// Start times of the incarnations that were listed, by id. An upstream that is listed again
    /// after an outage of the platform is not new.
    seen: HashMap<String, Option<u64>>,
}

#[derive(Debug)]
struct ColdUpstream {
    service: String,
    incarnation: Option<u64>,
    until: Instant,
    source: ColdSource,
    /// When this entry learned that the upstream is cold.
    since: Instant,
    /// When this entry last sent a request.
    last: Option<Instant>,
    /// This entry's share of the rate, and when it was computed.
    share: Option<(Share, Instant)>,
}

impl ColdUpstreams {
    /// Replaces the settings. Returns the upstreams whose listings say that they are cold and that
    /// had no settings before.
    pub(super) fn set_starts(
        &mut self,
        starts: HashMap<String, ColdStart>,
        now: Instant,
    ) -> Vec<ColdChange> {
        let before = std::mem::replace(&mut self.starts, starts);
        let mut changes = Vec::new();
        for (id, cold) in &mut self.upstreams {
            cold.share = None;
            let start = self.starts.get(&cold.service).filter(|_| cold.until > now);
            if let Some(start) = start.filter(|_| !before.contains_key(&cold.service)) {
                let (time, source) = (cold.until.duration_since(now), cold.source);
                let (upstream, rate) = (id.clone(), start.per_second);
                changes.push(ColdChange { upstream, time, rate, source });
            }
        }
        changes
    }

    /// Applies a listing. Returns how the upstream has become cold, if it was not.
    pub(super) fn list(&mut self, listed: &ListedUpstream, now: Instant) -> Option<ColdChange> {
        if self.seen.get(&listed.id).is_some_and(|seen| *seen > listed.started_at_ms) {
            return None;
        }
        let is_new = self.record_seen(listed) && self.served.contains(&listed.service);
        let known = self.known(listed, now);
        let start = self.starts.get(&listed.service);
        let (time, source) = if !listed.cold.is_zero() {
            (listed.cold, ColdSource::Listing)
        } else if let Some(start) = start.filter(|_| is_new) {
            (start.duration, ColdSource::New)
        } else {
            if known.is_some_and(|known| known.source == ColdSource::Listing) {
                self.upstreams.remove(&listed.id);
            }
            return None;
        };
        let change = start.filter(|_| known.is_none()).map(|start| ColdChange {
            upstream: listed.id.clone(),
            time,
            rate: start.per_second,
            source,
        });
        let cold = ColdUpstream {
            service: listed.service.clone(),
            incarnation: listed.started_at_ms,
            until: now.checked_add(time)?,
            source,
            since: known.map_or(now, |known| known.since),
            last: known.and_then(|known| known.last),
            share: known.and_then(|known| known.share),
        };
        self.upstreams.insert(listed.id.clone(), cold);
        change
    }

    /// Returns what is known of an incarnation whose cold time has not ended.
    fn known(&self, listed: &ListedUpstream, now: Instant) -> Option<&ColdUpstream> {
        let known = self.upstreams.get(&listed.id)?;
        let is_current = known.incarnation == listed.started_at_ms && known.until > now;
        is_current.then_some(known)
    }

    /// Records an incarnation. Returns whether it was not known.
    fn record_seen(&mut self, listed: &ListedUpstream) -> bool {
        if self.seen.len() >= MAX_SEEN && !self.seen.contains_key(&listed.id) {
            // Without all of them, every upstream that runs for long would be taken for a new one.
            let oldest = self.seen.iter().min_by_key(|(_, started)| **started);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.seen.remove(&id);
            }
        }
        self.seen.insert(listed.id.clone(), listed.started_at_ms) != Some(listed.started_at_ms)
    }

    /// Returns the number of upstreams that are cold.
    pub(super) fn len(&self, now: Instant) -> usize {
        let is_cold =
            |cold: &&ColdUpstream| cold.until > now && self.starts.contains_key(&cold.service);
        self.upstreams.values().filter(is_cold).count()
    }

    /// Returns whether an upstream is cold.
    pub(super) fn contains(&self, listed: &ListedUpstream, now: Instant) -> bool {
        let known = self.known(listed, now);
        known.is_some_and(|known| self.starts.contains_key(&known.service))
    }

    /// Returns when this entry may send a cold upstream the next request. `share` returns the share of
    /// a rate that a maximum number of entries have.
    pub(super) fn next(
        &mut self,
        id: &str,
        share: impl FnOnce(f64, f64) -> Share,
        now: Instant,
    ) -> Option<Instant> {
        let cold = self.upstreams.get_mut(id)?;
        let rate = self.starts.get(&cold.service)?.per_second;
        let is_usable = |at: Instant| now.saturating_duration_since(at) < SHARE_AGE;
        let known = cold.share.filter(|(_, at)| is_usable(*at));
        let (share, _) = *cold.share.insert(known.unwrap_or_else(|| {
            let most_sharers = (rate * ENTRIES_PER_RATE + MORE_ENTRIES).floor();
            (share(rate, most_sharers), now)
        }));
        Some(share.next(cold.since, cold.last, now).min(cold.until))
    }

    /// Records that a request is sent to an upstream.
    pub(super) fn record_send(&mut self, listed: &ListedUpstream, now: Instant) {
        if !self.served.contains(&listed.service) {
            self.served.insert(listed.service.clone());
        }
        if let Some(known) = self.upstreams.get_mut(&listed.id) {
            known.last = Some(now);
        }
    }

    /// Drops the upstreams that are cold no longer.
    pub(super) fn expire(&mut self, now: Instant) {
        self.upstreams.retain(|_, cold| cold.until > now);
    }
}

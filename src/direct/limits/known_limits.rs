use std::collections::HashMap;
use std::time::Duration;

use super::limited_upstream::LimitedUpstream;
use crate::units::unix_millis;

/// Time in milliseconds for which the end of a limit is told to the other entries.
const ENDED_RETENTION_MS: u64 = 60_000;

/// What has changed about the limit of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// Id of the upstream.
    pub upstream: String,
    /// The limit before, in requests per second.
    pub before: Option<f64>,
    /// The limit from now on.
    pub rate: Option<f64>,
}

/// What upstreams have said of their limits, by id.
#[derive(Debug, Default)]
pub(super) struct KnownLimits(HashMap<String, LimitedUpstream>);

impl KnownLimits {
    /// Returns whether any upstream names a limit.
    pub(super) fn has_limits(&self) -> bool {
        self.0.values().any(|known| known.rate.is_some())
    }

    /// Learns what an upstream said, if that is later than what is known. Returns what has changed.
    pub(super) fn learn(&mut self, id: &str, said: LimitedUpstream) -> Option<LimitChange> {
        let known = self.0.get_mut(id);
        if known.as_ref().is_some_and(|known| known.order() >= said.order()) {
            return None;
        }
        let same = known.filter(|known| known.incarnation == said.incarnation);
        let (before, rate) = (same.as_ref().and_then(|known| known.rate), said.rate);
        match same {
            // Its time of the last request stays, unless the limit is new.
            Some(known) if before.is_some() => {
                *known = LimitedUpstream { last: known.last, ..said };
            }
            _ => {
                self.0.insert(id.to_owned(), said);
            }
        }
        (before != rate).then(|| LimitChange { upstream: id.to_owned(), before, rate })
    }

    /// Returns what is known of an upstream.
    pub(super) fn get(&self, id: &str) -> Option<&LimitedUpstream> {
        self.0.get(id)
    }

    /// Returns what is known of an upstream, to change it.
    pub(super) fn get_mut(&mut self, id: &str) -> Option<&mut LimitedUpstream> {
        self.0.get_mut(id)
    }

    /// Returns whether anything is known of an upstream.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.0.contains_key(id)
    }

    /// Returns the number of upstreams that name a limit.
    pub(super) fn len(&self) -> usize {
        self.0.values().filter(|known| known.rate.is_some()).count()
    }

    /// Returns what is known of each upstream, by id.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&String, &LimitedUpstream)> {
        self.0.iter()
    }

    /// Drops what is known of upstreams that are not listed any more, and old ends of limits.
    pub(super) fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        let now = unix_millis(Duration::ZERO);
        let is_recent =
            |known: &LimitedUpstream| known.heard.saturating_add(ENDED_RETENTION_MS) > now;
        self.0.retain(|id, known| is_listed(id) && (known.rate.is_some() || is_recent(known)));
    }
}

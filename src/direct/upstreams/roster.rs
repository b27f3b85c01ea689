use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::hidden_listings::HiddenListings;
use crate::direct::{ListedUpstream, Upstream};

/// Maximum number of departed incarnations on record; beyond it the one started first is dropped.
const MAX_DEPARTED: usize = 1_024;

/// The upstreams of one service.
pub type Upstreams = Arc<Vec<Arc<Upstream>>>;

/// Effect of a listing on the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RosterChange {
    /// An upstream was added.
    Added,
    /// An upstream has restarted or moved and kept its id.
    Replaced,
    /// An upstream has started to drain.
    Draining,
    /// None of the above.
    None,
}

/// All upstreams that the platform lists.
#[derive(Debug, Default)]
pub struct Roster {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    services: HashMap<String, Upstreams>,
    by_id: HashMap<String, Arc<Upstream>>,
    hidden: HiddenListings,
    /// Services in the settings; before the first settings, all are taken for these.
    named: Option<HashSet<String>>,
    /// Start times of the incarnations that drained and left, by id. An older copy of the list may
    /// name them again.
    departed: HashMap<String, u64>,
}

impl Roster {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a listing from the platform.
    ///
    /// An incarnation that drains keeps draining, whatever later listings say. Of several upstreams
    /// at one address, only the one that started last is used: the others, for example from before
    /// a power cut, stay listed until their registration expires. They are used again if that one
    /// goes, or turns out to be no upstream.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use ebonyusher::direct::{ListedUpstream, Roster, RosterChange};
    /// let listed = ListedUpstream {
    ///     id: "u-1".into(),
    ///     service: "ledger".into(),
    ///     addr: "127.0.0.1:80".parse().unwrap(),
    ///     domain: "osu".into(),
    ///     draining: false,
    ///     started_at_ms: Some(1),
    ///     cold: Duration::ZERO,
    /// };
    /// let roster = Roster::default();
    /// assert_eq!(roster.apply(listed.clone()), RosterChange::Added);
    /// let restarted = ListedUpstream { started_at_ms: Some(2), ..listed };
    /// assert_eq!(roster.apply(restarted), RosterChange::Replaced);
    /// assert_eq!(roster.service_upstreams("ledger").len(), 1);
    /// ```
    pub fn apply(&self, listed: ListedUpstream) -> RosterChange {
        self.lock().apply(listed)
    }

    /// Removes an upstream. Returns whether it was present.
    pub fn remove(&self, id: &str) -> bool {
        let mut state = self.lock();
        state.hidden.remove(id);
        let Some(upstream) = state.remove(id) else {
            return false;
        };
        state.show_hidden_at(upstream.addr());
        true
    }

    /// Ends an upstream at whose address another one answers, as that one says.
    pub(in crate::direct) fn reject(&self, upstream: &Upstream) {
        let mut state = self.lock();
        upstream.end();
        let is_current = |known: &Arc<Upstream>| std::ptr::eq(known.as_ref(), upstream);
        if state.by_id.get(&upstream.listed.id).is_some_and(is_current) {
            state.remove(&upstream.listed.id);
            state.hidden.reject(upstream.listed.clone());
            state.show_hidden_at(upstream.addr());
        }
    }

    /// Sets the services that are in the settings. A listing of any other service takes no address
    /// from an upstream of these.
    pub(in crate::direct) fn set_services(&self, services: HashSet<String>) {
        let mut state = self.lock();
        state.named = Some(services);
        state.show_hidden(|_| true);
    }

    /// Returns the upstreams of a service.
    pub fn service_upstreams(&self, service: &str) -> Upstreams {
        self.lock().services.get(service).cloned().unwrap_or_default()
    }

    /// Returns the other upstreams of this one's failure domain: those of the same service or, if
    /// there are none that fit, those of other services.
    pub(in crate::direct) fn domain_peers(
        &self,
        upstream: &Upstream,
        fits: impl Fn(&Upstream) -> bool,
    ) -> Vec<Arc<Upstream>> {
        let state = self.lock();
        let is_peer = |other: &&Arc<Upstream>| {
            let (listed, own) = (&other.listed, &upstream.listed);
            listed.domain == own.domain && listed.id != own.id && fits(other)
        };
        let (same, others): (Vec<_>, Vec<_>) = state
            .by_id
            .values()
            .filter(is_peer)
            .cloned()
            .partition(|other| other.listed.service == upstream.listed.service);
        if same.is_empty() { others } else { same }
    }

    /// Returns whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.lock().by_id.is_empty()
    }

    /// Returns the ids of all upstreams.
    pub fn ids(&self) -> Vec<String> {
        self.lock().by_id.keys().cloned().collect()
    }

    /// Returns the ids of all listings, also of those that name no upstream to use.
    pub(in crate::direct) fn listed_ids(&self) -> HashSet<String> {
        let state = self.lock();
        state.by_id.keys().cloned().chain(state.hidden.ids()).collect()
    }
}

impl State {
    fn apply(&mut self, listed: ListedUpstream) -> RosterChange {
        if self.hidden.is_rejected(&listed) {
            return RosterChange::None;
        }
        self.hidden.remove(&listed.id);
        let known = self.by_id.get(&listed.id).cloned();
        if let Some(known) = &known {
            if self.is_named(&known.listed) && !self.is_named(&listed) {
                return RosterChange::None;
            }
            if known.is_same_incarnation(&listed) {
                let starts_draining = listed.draining && !known.is_draining();
                if starts_draining {
                    known.drain();
                }
                return if starts_draining { RosterChange::Draining } else { RosterChange::None };
            }
            // An entry of another writer may name a start later than any of the upstream's own.
            if known.listed.started_at_ms > listed.started_at_ms && !known.is_unreachable() {
                return RosterChange::None;
            }
        }
        if self.has_departed(&listed) {
            return RosterChange::None;
        }
        if let Some(known) = &known {
            self.remove(&known.listed.id);
        }
        let precedence = self.precedence(&listed);
        if self.others_at_address(&listed).any(|other| self.precedence(other) > precedence) {
            self.hidden.insert(listed);
            return RosterChange::None;
        }
        let older: Vec<ListedUpstream> = self.others_at_address(&listed).cloned().collect();
        for other in older {
            self.remove(&other.id);
            self.hidden.insert(other);
        }
        self.add(listed);
        if known.is_some() { RosterChange::Replaced } else { RosterChange::Added }
    }

    fn is_named(&self, listed: &ListedUpstream) -> bool {
        self.named.as_ref().is_none_or(|named| named.contains(&listed.service))
    }

    /// Returns the order in which upstreams at one address are used: the greatest one is.
    fn precedence(&self, listed: &ListedUpstream) -> (bool, Option<u64>) {
        (self.is_named(listed), listed.started_at_ms)
    }

    /// Applies the hidden listings at an address again.
    fn show_hidden_at(&mut self, addr: SocketAddr) {
        self.show_hidden(|listed| listed.addr == addr);
    }

    fn show_hidden(&mut self, is_meant: impl Fn(&ListedUpstream) -> bool) {
        for listed in self.hidden.take(is_meant) {
            self.apply(listed);
        }
    }

    /// Returns the other upstreams at the same address, if the start times that decide between them
    /// are known.
    fn others_at_address(&self, listed: &ListedUpstream) -> impl Iterator<Item = &ListedUpstream> {
        let listings = self.by_id.values().map(|upstream| &upstream.listed);
        let (addr, id) = (listed.addr, listed.id.clone());
        let has_start = listed.started_at_ms.is_some();
        listings.filter(move |other| {
            has_start && other.started_at_ms.is_some() && other.addr == addr && other.id != id
        })
    }

    /// Returns whether this incarnation, or a later one with its id, has drained and left.
    fn has_departed(&self, listed: &ListedUpstream) -> bool {
        let departed = self.departed.get(&listed.id);
        departed.is_some_and(|at| listed.started_at_ms.is_some_and(|started| started <= *at))
    }

    fn record_departure(&mut self, upstream: &Upstream) {
        let Some(started_at_ms) = upstream.listed.started_at_ms.filter(|_| upstream.is_draining())
        else {
            return;
        };
        if self.departed.len() >= MAX_DEPARTED {
            let oldest = self.departed.iter().min_by_key(|(_, at)| **at);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.departed.remove(&id);
            }
        }
        self.departed.insert(upstream.listed.id.clone(), started_at_ms);
    }

    fn add(&mut self, listed: ListedUpstream) {
        let upstream = Arc::new(Upstream::new(listed));
        self.by_id.insert(upstream.listed.id.clone(), Arc::clone(&upstream));
        let service = self.services.entry(upstream.listed.service.clone()).or_default();
        Arc::make_mut(service).push(upstream);
    }

    fn remove(&mut self, id: &str) -> Option<Arc<Upstream>> {
        let upstream = self.by_id.remove(id)?;
        self.record_departure(&upstream);
        upstream.end();
        if let Some(service) = self.services.get_mut(&upstream.listed.service) {
            Arc::make_mut(service).retain(|other| !Arc::ptr_eq(other, &upstream));
        }
        Some(upstream)
    }
}

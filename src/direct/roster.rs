use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::{ListedUpstream, Upstream};

/// The upstreams of one service.
pub type Upstreams = Arc<Vec<Arc<Upstream>>>;

/// What a line of the list changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RosterChange {
    /// An upstream is new.
    Added,
    /// An upstream has started anew, or elsewhere, under the id it had.
    Replaced,
    /// An upstream is leaving.
    Draining,
    /// Nothing that matters here.
    None,
}

/// All upstreams that the platform's list names.
#[derive(Debug, Default)]
pub struct Roster {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    services: HashMap<String, Upstreams>,
    by_id: HashMap<String, Arc<Upstream>>,
}

impl Roster {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in a line of the list. A life that is leaving stays so, whatever later lines say. Of
    /// several at one address only the youngest lives: the others, such as those of before a power
    /// cut, are still listed until their time is over.
    ///
    /// ```
    /// # use ebonyusher::direct::{ListedUpstream, Roster, RosterChange};
    /// let listed = ListedUpstream {
    ///     id: "u-1".into(),
    ///     service: "ledger".into(),
    ///     addr: "127.0.0.1:80".parse().unwrap(),
    ///     domain: "osu".into(),
    ///     draining: false,
    ///     started_at_ms: Some(1),
    /// };
    /// let roster = Roster::default();
    /// assert_eq!(roster.apply(listed.clone()), RosterChange::Added);
    /// assert_eq!(roster.apply(ListedUpstream { started_at_ms: Some(2), ..listed }), RosterChange::Replaced);
    /// assert_eq!(roster.service_upstreams("ledger").len(), 1);
    /// ```
    pub fn apply(&self, listed: ListedUpstream) -> RosterChange {
        let mut state = self.lock();
        let known = state.by_id.get(&listed.id).cloned();
        if let Some(known) = &known {
            if known.is_same_incarnation(&listed) {
                let starts_draining = listed.draining && !known.is_draining();
                if starts_draining {
                    known.drain();
                }
                return if starts_draining { RosterChange::Draining } else { RosterChange::None };
            }
            if known.listed.started_at_ms > listed.started_at_ms {
                return RosterChange::None;
            }
            state.remove(&listed.id);
        }
        if state.others_at_address(&listed).any(|other| other.started_at_ms > listed.started_at_ms)
        {
            return RosterChange::None;
        }
        let older: Vec<String> =
            state.others_at_address(&listed).map(|other| other.id.clone()).collect();
        for id in older {
            state.remove(&id);
        }
        state.add(listed);
        if known.is_some() { RosterChange::Replaced } else { RosterChange::Added }
    }

    /// Takes an upstream off, and tells whether it was there.
    pub fn remove(&self, id: &str) -> bool {
        self.lock().remove(id)
    }

    /// The upstreams of a service.
    pub fn service_upstreams(&self, service: &str) -> Upstreams {
        self.lock().services.get(service).cloned().unwrap_or_default()
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.lock().by_id.is_empty()
    }

    /// Ids of all upstreams.
    pub fn ids(&self) -> Vec<String> {
        self.lock().by_id.keys().cloned().collect()
    }
}

impl State {
    /// Other upstreams at the address of one, with the times of their starts.
    fn others_at_address(&self, listed: &ListedUpstream) -> impl Iterator<Item = &ListedUpstream> {
        let listings = self.by_id.values().map(|upstream| &upstream.listed);
        let (addr, id) = (listed.addr, listed.id.clone());
        let known = listed.started_at_ms.is_some();
        listings.filter(move |other| {
            known && other.started_at_ms.is_some() && other.addr == addr && other.id != id
        })
    }

    fn add(&mut self, listed: ListedUpstream) {
        let upstream = Arc::new(Upstream::new(listed));
        self.by_id.insert(upstream.listed.id.clone(), Arc::clone(&upstream));
        let service = self.services.entry(upstream.listed.service.clone()).or_default();
        Arc::make_mut(service).push(upstream);
    }

    fn remove(&mut self, id: &str) -> bool {
        let Some(upstream) = self.by_id.remove(id) else {
            return false;
        };
        upstream.drain();
        if let Some(service) = self.services.get_mut(&upstream.listed.service) {
            Arc::make_mut(service).retain(|other| !Arc::ptr_eq(other, &upstream));
        }
        true
    }
}

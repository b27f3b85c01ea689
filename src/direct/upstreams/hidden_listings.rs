use std::collections::HashMap;

use crate::direct::ListedUpstream;

/// Listings that name no upstream to use at present.
#[derive(Debug, Default)]
pub(super) struct HiddenListings {
    /// Listings that may be used later, by id.
    waiting: HashMap<String, ListedUpstream>,
    /// Listings that name no upstream, since another one answers at their address, by id.
    rejected: HashMap<String, ListedUpstream>,
}

impl HiddenListings {
    /// Hides a listing.
    pub(super) fn insert(&mut self, listed: ListedUpstream) {
        self.waiting.insert(listed.id.clone(), listed);
    }

    /// Records a listing that names no upstream.
    pub(super) fn reject(&mut self, listed: ListedUpstream) {
        self.rejected.insert(listed.id.clone(), listed);
    }

    /// Returns whether a listing names what was rejected.
    pub(super) fn is_rejected(&self, listed: &ListedUpstream) -> bool {
        self.rejected.get(&listed.id).is_some_and(|rejected| {
            rejected.addr == listed.addr
                && rejected.service == listed.service
                && rejected.started_at_ms == listed.started_at_ms
        })
    }

    /// Drops the listing with this id.
    pub(super) fn remove(&mut self, id: &str) {
        self.waiting.remove(id);
        self.rejected.remove(id);
    }

    /// Takes out those listings that may be used later and that are meant, the latest start first.
    pub(super) fn take(
        &mut self,
        is_meant: impl Fn(&ListedUpstream) -> bool,
    ) -> Vec<ListedUpstream> {
        let taken = self.waiting.extract_if(|_, listed| is_meant(listed));
        let mut taken: Vec<ListedUpstream> = taken.map(|(_, listed)| listed).collect();
        taken.sort_by_key(|listed| std::cmp::Reverse(listed.started_at_ms));
        taken
    }

    /// Returns the ids of all hidden listings.
    pub(super) fn ids(&self) -> impl Iterator<Item = String> {
        self.waiting.keys().chain(self.rejected.keys()).cloned()
    }
}

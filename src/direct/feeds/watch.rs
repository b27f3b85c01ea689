use std::sync::Arc;

use tokio::sync::watch;

use crate::direct::Routing;

/// Read access to the settings in force in this process.
#[derive(Clone, Debug)]
pub(in crate::direct) struct CurrentRouting(watch::Receiver<Option<Arc<Routing>>>);

/// The only way to put settings in force in this process.
#[derive(Debug)]
pub(in crate::direct) struct RoutingPublisher(watch::Sender<Option<Arc<Routing>>>);

impl RoutingPublisher {
    /// Creates a publisher and a reader, without settings yet.
    pub(in crate::direct) fn new() -> (Self, CurrentRouting) {
        let (sender, receiver) = watch::channel(None);
        (Self(sender), CurrentRouting(receiver))
    }

    /// Returns the revision in force, or 0 before the first settings.
    pub(in crate::direct) fn revision(&self) -> u64 {
        self.0.borrow().as_ref().map_or(0, |current| current.revision)
    }

    /// Puts settings in force if they are newer than the current ones. Returns the revision of the
    /// replaced ones (0 if there were none), or `None` if nothing changed.
    pub(in crate::direct) fn publish(&self, routing: Routing) -> Option<u64> {
        let mut before = None;
        self.0.send_if_modified(|current| {
            let known = current.as_ref().map_or(0, |current| current.revision);
            let newer = current.is_none() || routing.revision > known;
            if newer {
                before = Some(known);
                *current = Some(Arc::new(routing));
            }
            newer
        });
        before
    }
}

impl CurrentRouting {
    /// Returns the settings in force, or `None` before the first ones.
    pub(in crate::direct) fn get(&self) -> Option<Arc<Routing>> {
        self.0.borrow().clone()
    }
}

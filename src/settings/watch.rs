use std::sync::Arc;

use tokio::sync::watch;

use super::Snapshot;

/// Read access to the settings in force in this process.
#[derive(Clone, Debug)]
pub struct CurrentSettings(watch::Receiver<Arc<Snapshot>>);

/// Puts settings in force in this process. There is no other way to do so.
#[derive(Clone, Debug)]
pub struct SettingsPublisher(Arc<watch::Sender<Arc<Snapshot>>>);

impl SettingsPublisher {
    /// Creates a publisher with an empty tree at revision 0 in force.
    ///
    /// ```
    /// # use ebonyusher::settings::{SettingsPublisher, Snapshot};
    /// let publisher = SettingsPublisher::new();
    /// assert!(publisher.offer(Snapshot::new(2, Default::default())));
    /// assert!(!publisher.offer(Snapshot::new(1, Default::default())));
    /// assert_eq!(publisher.current().get().revision, 2);
    /// ```
    pub fn new() -> Self {
        let (sender, _) = watch::channel(Arc::new(Snapshot::default()));
        Self(Arc::new(sender))
    }

    /// Puts a snapshot in force if its revision is greater than the current one, and returns whether
    /// it did.
    pub fn offer(&self, snapshot: Snapshot) -> bool {
        self.0.send_if_modified(|current| {
            let newer = snapshot.revision > current.revision;
            if newer {
                *current = Arc::new(snapshot);
            }
            newer
        })
    }

    /// Returns a reader of the settings in force.
    pub fn current(&self) -> CurrentSettings {
        CurrentSettings(self.0.subscribe())
    }
}

impl Default for SettingsPublisher {
    fn default() -> Self {
        Self::new()
    }
}

impl CurrentSettings {
    /// Returns the settings in force.
    pub fn get(&self) -> Arc<Snapshot> {
        Arc::clone(&self.0.borrow())
    }

    /// Waits until newer settings are in force. Never returns once the publisher is dropped.
    pub async fn changed(&mut self) {
        if self.0.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

use std::sync::Arc;

use tokio::sync::watch;

use super::Snapshot;

/// The settings in force in this process, for reading.
#[derive(Clone, Debug)]
pub struct CurrentSettings(watch::Receiver<Arc<Snapshot>>);

/// The only way to put settings in force in this process.
#[derive(Clone, Debug)]
pub struct SettingsPublisher(Arc<watch::Sender<Arc<Snapshot>>>);

impl SettingsPublisher {
    /// Starts with an empty tree at revision 0.
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

    /// Puts a snapshot in force if its revision is greater than the present one, and tells whether
    /// it did.
    pub fn offer(&self, snapshot: Snapshot) -> bool {
        self.0.send_if_modified(|present| {
            let newer = snapshot.revision > present.revision;
            if newer {
                *present = Arc::new(snapshot);
            }
            newer
        })
    }

    /// A reader of what is in force.
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
    /// What is in force now.
    pub fn get(&self) -> Arc<Snapshot> {
        Arc::clone(&self.0.borrow())
    }

    /// Waits until something newer is in force. Never returns once the publisher is gone.
    pub async fn changed(&mut self) {
        if self.0.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

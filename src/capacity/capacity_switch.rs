use std::sync::atomic::{AtomicBool, Ordering};

use crate::direct::Routing;

/// Whether capacity is learned: by the setting or, without one, by what the settings of the platform
/// require.
#[derive(Debug, Default)]
pub struct CapacitySwitch {
    setting: Option<bool>,
    has_groups: AtomicBool,
}

impl CapacitySwitch {
    /// Creates a switch with the setting of the entry's own file.
    pub fn new(setting: Option<bool>) -> Self {
        Self { setting, has_groups: AtomicBool::new(false) }
    }

    /// Records whether some service is known to have several groups.
    ///
    /// ```
    /// # use ebonyusher::capacity::CapacitySwitch;
    /// let automatic = CapacitySwitch::default();
    /// assert!(!automatic.is_on(false));
    /// assert!(automatic.is_on(true));
    /// automatic.set_groups(true);
    /// assert!(automatic.is_on(false));
    /// assert!(!CapacitySwitch::new(Some(false)).is_on(true));
    /// ```
    pub fn set_groups(&self, has_groups: bool) {
        self.has_groups.store(has_groups, Ordering::Relaxed);
    }

    /// Returns whether capacity is learned. `has_priorities` is whether the routes of some engine
    /// service have more than one priority.
    pub fn is_on(&self, has_priorities: bool) -> bool {
        self.setting.unwrap_or_else(|| has_priorities || self.has_groups.load(Ordering::Relaxed))
    }

    /// Returns whether capacity is learned under these settings.
    pub fn is_on_for(&self, routing: &Routing) -> bool {
        self.is_on(routing.has_engine_priorities())
    }
}

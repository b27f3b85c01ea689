use std::time::Duration;

use super::GroupCondition;

/// Step in which expected waits are compared. Smaller differences are within the error of the load
/// reports.
const WAIT_STEP: Duration = Duration::from_millis(20);
/// Step, as a part of the target, in which gaps beyond the target are compared.
const GAP_STEP: f64 = 0.25;

/// State of a group on which the choice among the groups of a service is based.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupLoad {
    /// Whether the group runs.
    pub condition: GroupCondition,
    /// Whether the group admits the request.
    pub admits: bool,
    /// Expected wait for a slot.
    pub wait: Duration,
    /// Ratio of the mean gap between events to the target; 0 without a target or recent events.
    pub gap_ratio: f64,
    /// Number of requests per upstream.
    pub load: f64,
}

impl GroupLoad {
    /// Returns by what the group is compared with others before its load.
    fn rank(&self) -> (GroupCondition, u128, u64) {
        let waits = self.wait.as_nanos() / WAIT_STEP.as_nanos();
        let gaps = ((self.gap_ratio - 1.0) / GAP_STEP).ceil().max(0.0);
        (self.condition, waits, gaps as u64)
    }
}

/// Chooses the group in which a request is expected to be served soonest, among those that admit it.
///
/// ```
/// # use std::time::Duration;
/// # use ebonyusher::direct::{GroupCondition, GroupLoad, choose_group};
/// let idle = GroupLoad {
///     condition: GroupCondition::Running,
///     admits: true,
///     wait: Duration::ZERO,
///     gap_ratio: 0.5,
///     load: 1.0,
/// };
/// let slow = GroupLoad { gap_ratio: 3.0, ..idle };
/// let down = GroupLoad { condition: GroupCondition::Down, ..idle };
/// assert_eq!(choose_group(&[down, slow, idle]), Some(2));
/// assert_eq!(choose_group(&[GroupLoad { admits: false, ..idle }]), None);
/// ```
pub fn choose_group(loads: &[GroupLoad]) -> Option<usize> {
    let admitting = loads.iter().enumerate().filter(|(_, load)| load.admits);
    let best = admitting.min_by(|(_, left), (_, right)| {
        left.rank().cmp(&right.rank()).then(left.load.total_cmp(&right.load))
    });
    best.map(|(at, _)| at)
}

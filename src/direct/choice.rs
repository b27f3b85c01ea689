use tokio::time::Instant;

/// Requests by which a farther upstream must be less loaded to be chosen.
const DISTANCE_COST: f64 = 0.4;

/// What choosing sees of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct View {
    /// Requests of this entry in flight there.
    pub own: u32,
    /// Estimated requests of the other entries there.
    pub others: f64,
    /// Requests that it runs at a time, 0 if unknown.
    pub slots: u32,
    /// Until when it is better left alone.
    pub rests_until: Option<Instant>,
}

/// Chooses the upstream with the fewest requests, those that rest only if all do, and then the one
/// whose rest ends first. `near` tells which are in the entry's own failure domain, `draw` breaks
/// ties by a random number for each.
///
/// ```
/// # use ebonyusher::direct::{View, choose};
/// let idle = View { own: 0, others: 0.0, slots: 8, rests_until: None };
/// let busy = View { own: 5, ..idle };
/// assert_eq!(choose(&[busy, idle], |_| false, |_| 0.0), Some(1));
/// assert_eq!(choose(&[], |_| false, |_| 0.0), None);
/// ```
pub fn choose(
    views: &[View],
    near: impl Fn(usize) -> bool,
    draw: impl Fn(usize) -> f64,
) -> Option<usize> {
    let awake = (0..views.len()).filter(|at| views[*at].rests_until.is_none());
    let cost = |at: usize| {
        let distance = if near(at) { 0.0 } else { DISTANCE_COST };
        f64::from(views[at].own) + views[at].others + distance + draw(at)
    };
    let best = awake.map(|at| (cost(at), at)).min_by(|left, right| left.0.total_cmp(&right.0));
    if let Some((_, at)) = best {
        return Some(at);
    }
    (0..views.len()).min_by_key(|at| views[*at].rests_until)
}

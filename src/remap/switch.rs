use std::time::Duration;

use smallvec::{SmallVec, smallvec};
use tokio::time::{Instant, sleep};

use super::{
    Deposed, RankClient, RankError, RankOrder, RankSet, RankState, SettleAction, SharedMap,
    next_settle_action,
};

/// Min number of passes from the running one to the switch, so that every rank gets its order in
/// time.
const MIN_PASSES_AHEAD: usize = 2;
/// Number of ranks for which that is raised by one pass, since orders to more ranks take longer.
const RANKS_PER_PASS: usize = 96;
/// Number of passes by which that is raised for each time that orders to prepare had to be repeated:
/// then orders to arm will be lost as well, and the group need not wait while they are repeated.
const PASSES_PER_REPEAT: usize = 2;
/// Max attempts to give the order to prepare. If more orders are lost than these make up for, the
/// switch is given up before the group is held.
const PREPARE_ATTEMPTS: usize = 4;
/// Max time for which the states are awaited at once while experts are copied. Each reading also
/// shows the sidecars that the leader lives.
const COPY_WAIT: Duration = Duration::from_millis(300);
/// Max time for ranks to copy experts.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Max attempts to give an order while the group is held. If half of them are lost, 1 of 250 orders
/// has no answer.
const MAX_ATTEMPTS: usize = 8;
/// Interval between two readings while settling is blocked.
const BLOCKED_INTERVAL: Duration = Duration::from_millis(40);

/// Why a switch to a map failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwitchError {
    /// A later leader has given orders.
    Deposed,
    /// The named step failed, for the given reason.
    Failed(&'static str, String),
}

impl From<Deposed> for SwitchError {
    fn from(_: Deposed) -> Self {
        Self::Deposed
    }
}

/// Has all ranks of a group switch to a map at the start of the same pass, and returns that pass.
/// The group does not wait unless an order is lost. After a failure the caller must undo the
/// unfinished switch with [`settle_switch`].
///
/// `local` is the rank beside this leader. The next rank holds the group, and its order comes from
/// the machine of a third rank, if there is one. The leader's rank and the third are armed last: if
/// either machine freezes or dies while the group is held, a leader can release the group without
/// it.
///
/// # Errors
/// [`SwitchError::Deposed`] if another leader has taken over, [`SwitchError::Failed`] for the first
/// step that fails.
pub async fn switch<P: RankClient>(
    ranks: &mut RankSet<P>,
    local: usize,
    version: u64,
    map: &SharedMap,
) -> Result<u64, SwitchError> {
    let all: Vec<usize> = (0..ranks.len()).collect();
    let prepare = RankOrder::Prepare { version, map: map.clone() };
    let repeats = order_ranks(ranks, "prepare", &prepare, all.clone(), PREPARE_ATTEMPTS).await?;
    // Only a report that names the version says that a rank has prepared the map.
    wait_prepared(ranks, version).await?;
    let holder = (local + 1) % ranks.len();
    let last_armed = armed_last(local, ranks.len());
    let passes_ahead =
        MIN_PASSES_AHEAD + ranks.len() / RANKS_PER_PASS + PASSES_PER_REPEAT * repeats;
    let pass = hold(ranks, local, holder, passes_ahead).await?;
    let arm = RankOrder::Arm { version, pass };
    let others = all.into_iter().filter(|rank| !last_armed.contains(rank)).collect();
    order_ranks(ranks, "arm", &arm, others, MAX_ATTEMPTS).await?;
    for rank in last_armed {
        // The machine may be frozen. It would carry out an order when it resumes, and until then
        // the order's outcome would be unknown.
        if ranks.state_of(rank).await.is_none() {
            return Err(SwitchError::Failed("arm last", format!("rank {rank} gives no answer")));
        }
        order_ranks(ranks, "arm last", &arm, vec![rank], MAX_ATTEMPTS).await?;
    }
    release(ranks, holder, pass).await?;
    Ok(pass)
}

/// Ranks that a leader arms last, in their order: the one from whose machine the group is held, and
/// the one beside the leader.
///
/// ```
/// # use ebonyusher::remap::armed_last;
/// assert_eq!(armed_last(1, 4)[..], [3, 1]);
/// assert_eq!(armed_last(1, 2)[..], [1]);
/// ```
pub fn armed_last(local: usize, ranks: usize) -> SmallVec<[usize; 2]> {
    let via = (local + 2) % ranks.max(1);
    if via == local { smallvec![local] } else { smallvec![via, local] }
}

/// Has a rank hold the group before the pass that is so many passes ahead, and returns that pass.
async fn hold<P: RankClient>(
    ranks: &mut RankSet<P>,
    local: usize,
    holder: usize,
    passes_ahead: usize,
) -> Result<u64, SwitchError> {
    let failed = |detail: String| SwitchError::Failed("hold", detail);
    let own = ranks.state_of(local).await;
    let own = own.ok_or_else(|| failed("the local rank gave no answer".to_owned()))?;
    let pass = own.pass + passes_ahead as u64;
    let via = armed_last(local, ranks.len())[0];
    let held = ranks.command_via(via, holder, RankOrder::Hold { pass }).await?;
    held.map(|()| pass).map_err(|err| failed(format!("rank {holder}: {err}")))
}

/// Gives an order to ranks, and repeats it for those that do not answer. Returns how often it was
/// repeated.
async fn order_ranks<P: RankClient>(
    ranks: &mut RankSet<P>,
    step: &'static str,
    order: &RankOrder,
    targets: Vec<usize>,
    max_attempts: usize,
) -> Result<usize, SwitchError> {
    let mut left = targets;
    for repeats in 0..max_attempts {
        let orders = left.iter().map(|rank| (*rank, order.clone())).collect();
        let ended = ranks.command(orders).await?;
        // A rank also refuses to prepare a map that it has prepared by an order without an answer.
        // The refusal does not say which map that is: the caller reads it from the rank's report.
        let is_reported = repeats > 0 && matches!(order, RankOrder::Prepare { .. });
        let refused = ended.iter().position(|ended| *ended == Err(RankError::Refused));
        if let Some(at) = refused.filter(|_| !is_reported) {
            return Err(SwitchError::Failed(step, format!("rank {} refused", left[at])));
        }
        let lost = left.iter().zip(&ended).filter(|(_, ended)| is_lost(**ended));
        left = lost.map(|(rank, _)| *rank).collect();
        if left.is_empty() {
            return Ok(repeats);
        }
    }
    Err(SwitchError::Failed(step, format!("ranks {left:?} gave no answer")))
}

/// Returns whether an order got no answer, so that it is given again.
const fn is_lost(ended: Result<(), RankError>) -> bool {
    matches!(ended, Err(RankError::Unknown | RankError::MapMissing))
}

/// Waits until all ranks have copied the experts that a map adds.
async fn wait_prepared<P: RankClient>(ranks: &RankSet<P>, version: u64) -> Result<(), SwitchError> {
    let failed = |detail: &str| SwitchError::Failed("copy", detail.to_owned());
    let deadline = Instant::now() + COPY_TIMEOUT;
    loop {
        let states = ranks.prepared_states(version, COPY_WAIT).await;
        let states = states.into_iter().collect::<Option<Vec<RankState>>>();
        let states = states.ok_or_else(|| failed("a rank gave no answer"))?;
        if states.iter().any(|state| !state.open || state.epoch != ranks.epoch()) {
            return Err(failed("the group is in a new epoch or not running"));
        }
        if states.iter().any(|state| !state.is_quiet()) {
            return Err(failed("another switch is under way"));
        }
        if states.iter().all(|state| state.prepared == Some(version)) {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(failed("the experts were not copied in time"));
        }
    }
}

/// Releases the group; repeats the order until the rank that holds the group answers.
async fn release<P: RankClient>(
    ranks: &mut RankSet<P>,
    rank: usize,
    pass: u64,
) -> Result<(), SwitchError> {
    loop {
        let ended = ranks.command(vec![(rank, RankOrder::Release { pass })]).await?;
        match ended.first() {
            Some(Err(RankError::Unknown)) => {}
            // The rank no longer holds the group, for example after the loss of a rank.
            Some(Err(_)) | Some(Ok(())) | None => return Ok(()),
        }
    }
}

/// Undoes an unfinished switch, and returns the number of orders that it took. `last_armed` are the
/// ranks that the leader which began the switch arms last, empty if no leader may have begun one.
/// Returns only when no switch is under way, the group is in a new epoch, or it has another leader.
///
/// # Errors
/// [`SwitchError::Deposed`] if another leader has taken over, [`SwitchError::Failed`] if the group
/// is in a new epoch.
pub async fn settle_switch<P: RankClient>(
    ranks: &mut RankSet<P>,
    local: usize,
    last_armed: &[usize],
) -> Result<usize, SwitchError> {
    let mut commands = 0;
    loop {
        let states = ranks.states().await;
        if states.iter().flatten().any(|state| state.epoch != ranks.epoch()) {
            return Err(SwitchError::Failed("settle", "the group is in a new epoch".to_owned()));
        }
        let orders: Vec<(usize, RankOrder)> =
            match next_settle_action(&states, ranks.order_statuses(), local, last_armed) {
                SettleAction::Quiet => return Ok(commands),
                SettleAction::Blocked => {
                    sleep(BLOCKED_INTERVAL).await;
                    continue;
                }
                SettleAction::Hold { rank, pass } => vec![(rank, RankOrder::Hold { pass })],
                SettleAction::Fence(ranks) => {
                    ranks.into_iter().map(|rank| (rank, RankOrder::Fence)).collect()
                }
                SettleAction::Disarm(armed) => {
                    let disarm = |(rank, version)| (rank, RankOrder::Disarm { version });
                    armed.into_iter().map(disarm).collect()
                }
                SettleAction::Release(held) => {
                    let release = |(rank, pass)| (rank, RankOrder::Release { pass });
                    held.into_iter().map(release).collect()
                }
            };
        commands += orders.len();
        let ended = ranks.command(orders).await?;
        if ended.iter().any(Result::is_err) {
            sleep(BLOCKED_INTERVAL).await;
        }
    }
}

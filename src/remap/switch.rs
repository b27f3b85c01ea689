use std::time::Duration;

use smallvec::{SmallVec, smallvec};
use tokio::time::{Instant, sleep};

use super::{
    Deposed, GroupMap, RankClient, RankError, RankOrder, RankSet, RankState, SettleAction,
    next_settle_action,
};

/// Passes between the one that runs and the switch, so that every rank has its order before.
const LEAD_PASSES: u64 = 2;
/// Pause between two readings while experts are copied.
const COPY_PAUSE: Duration = Duration::from_millis(20);
/// Longest time for experts to be copied.
const COPY_TIME: Duration = Duration::from_millis(2_500);
/// Times that an order is given while the group is held: with half of them lost, 1 of 250 has no
/// answer.
const TRIES: usize = 8;
/// Pause before a group that is not known is read again.
const BLOCKED_PAUSE: Duration = Duration::from_millis(40);

/// Why a map was not switched to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwitchError {
    /// Another leader has given orders since.
    Deposed,
    /// At the step named, for the reason given.
    Failed(&'static str, String),
}

impl From<Deposed> for SwitchError {
    fn from(_: Deposed) -> Self {
        Self::Deposed
    }
}

/// Has all ranks of a group switch to a map as one pass begins, and gives that pass. The group does
/// not wait unless an order is lost. After a failure what is left must be settled.
///
/// The group is held at another rank than `local`, the one beside this leader, and from the machine of
/// a third rank. These two are armed last: if either machine freezes or dies with the group held, a
/// leader can let the group go on without it.
///
/// # Errors
/// [`SwitchError::Deposed`] if another leader has taken over, [`SwitchError::Failed`] at the first
/// step that fails.
pub async fn switch<P: RankClient>(
    ranks: &mut RankSet<P>,
    local: usize,
    version: u64,
    map: &GroupMap,
) -> Result<u64, SwitchError> {
    let all: Vec<usize> = (0..ranks.len()).collect();
    let prepare = RankOrder::Prepare { version, map: map.clone() };
    // Once, so that orders that get lost show before the group is held.
    order_ranks(ranks, "prepare", &prepare, all.clone(), 1).await?;
    wait_prepared(ranks, version).await?;
    let holder = (local + 1) % ranks.len();
    let last_armed = armed_last(local, ranks.len());
    let pass = hold(ranks, local, last_armed[0], holder).await?;
    let arm = RankOrder::Arm { version, pass };
    let others = all.into_iter().filter(|rank| !last_armed.contains(rank)).collect();
    order_ranks(ranks, "arm", &arm, others, TRIES).await?;
    for end in last_armed {
        // An order that a frozen machine takes up when it wakes would leave open what it has done.
        if ranks.state_of(end).await.is_none() {
            return Err(SwitchError::Failed("arm last", format!("rank {end} gives no answer")));
        }
        order_ranks(ranks, "arm last", &arm, vec![end], TRIES).await?;
    }
    release(ranks, holder, pass).await?;
    Ok(pass)
}

/// The ranks that a leader arms last, in their order: the one from whose machine it has the group
/// held, and the one beside itself.
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

/// Has the group held before a pass to come, and gives the pass.
async fn hold<P: RankClient>(
    ranks: &mut RankSet<P>,
    local: usize,
    via: usize,
    holder: usize,
) -> Result<u64, SwitchError> {
    let failed = |detail: String| SwitchError::Failed("hold", detail);
    let own = ranks.state_of(local).await;
    let own = own.ok_or_else(|| failed("no answer nearby".to_owned()))?;
    let pass = own.pass + LEAD_PASSES;
    let held = ranks.command_via(via, holder, RankOrder::Hold { pass }).await?;
    held.map(|()| pass).map_err(|err| failed(format!("rank {holder}: {err}")))
}

/// Gives an order to ranks, again to those without an answer.
async fn order_ranks<P: RankClient>(
    ranks: &mut RankSet<P>,
    step: &'static str,
    order: &RankOrder,
    targets: Vec<usize>,
    tries: usize,
) -> Result<(), SwitchError> {
    let mut left = targets;
    for _ in 0..tries {
        let orders = left.iter().map(|rank| (*rank, order.clone())).collect();
        let ended = ranks.command(orders).await?;
        if let Some(at) = ended.iter().position(|ended| *ended == Err(RankError::Refused)) {
            return Err(SwitchError::Failed(step, format!("rank {} refused", left[at])));
        }
        let lost = left.iter().zip(&ended).filter(|(_, ended)| ended.is_err());
        left = lost.map(|(rank, _)| *rank).collect();
        if left.is_empty() {
            return Ok(());
        }
    }
    Err(SwitchError::Failed(step, format!("ranks {left:?} gave no answer")))
}

/// Waits until all ranks hold what a map needs.
async fn wait_prepared<P: RankClient>(ranks: &RankSet<P>, version: u64) -> Result<(), SwitchError> {
    let failed = |detail: &str| SwitchError::Failed("copy", detail.to_owned());
    let end = Instant::now() + COPY_TIME;
    let mut left: Vec<usize> = (0..ranks.len()).collect();
    loop {
        let states = ranks.states_of(&left).await.into_iter().collect::<Option<Vec<RankState>>>();
        let states = states.ok_or_else(|| failed("a rank gave no answer"))?;
        if states.iter().any(|state| !state.open || state.epoch != ranks.epoch()) {
            return Err(failed("the group is formed anew"));
        }
        if states.iter().any(|state| !state.is_quiet()) {
            return Err(failed("another switch is under way"));
        }
        let open = left.iter().zip(&states).filter(|(_, state)| state.prepared != Some(version));
        left = open.map(|(rank, _)| *rank).collect();
        if left.is_empty() {
            return Ok(());
        }
        if Instant::now() >= end {
            return Err(failed("not in time"));
        }
        sleep(COPY_PAUSE).await;
    }
}

/// Lets the group go on, until the rank that holds it has said that it does.
async fn release<P: RankClient>(
    ranks: &mut RankSet<P>,
    rank: usize,
    pass: u64,
) -> Result<(), SwitchError> {
    loop {
        let ended = ranks.command(vec![(rank, RankOrder::Release { pass })]).await?;
        match ended.first() {
            Some(Err(RankError::Unknown)) => {}
            // The group no longer stands there, as after a loss of a rank.
            Some(Err(_)) | Some(Ok(())) | None => return Ok(()),
        }
    }
}

/// Undoes what is left of a switch, and gives the number of orders that it took. `last_armed` are the ranks
/// that the leader which began the switch arms last, if one did. Returns only when
/// the group is quiet, is formed anew, or has another leader.
///
/// # Errors
/// [`SwitchError::Deposed`] if another leader has taken over, [`SwitchError::Failed`] if the group
/// is formed anew.
pub async fn settle_switch<P: RankClient>(
    ranks: &mut RankSet<P>,
    local: usize,
    last_armed: &[usize],
) -> Result<usize, SwitchError> {
    let mut commands = 0;
    loop {
        let states = ranks.states().await;
        if states.iter().flatten().any(|state| state.epoch != ranks.epoch()) {
            return Err(SwitchError::Failed("settle", "the group is formed anew".to_owned()));
        }
        let orders: Vec<(usize, RankOrder)> =
            match next_settle_action(&states, ranks.order_statuses(), local, last_armed) {
                SettleAction::Quiet => return Ok(commands),
                SettleAction::Blocked => {
                    sleep(BLOCKED_PAUSE).await;
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
            sleep(BLOCKED_PAUSE).await;
        }
    }
}

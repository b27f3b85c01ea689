use std::time::Duration;

use smallvec::{SmallVec, smallvec};
use tokio::time::{Instant, sleep};

use super::{Crew, Deposed, GroupMap, RankError, RankOrder, RankPort, RankState, Settle, settle};

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
/// The group is held at another rank than `near`, the one beside this leader, and from the machine of
/// a third rank. These two are armed last: if either machine freezes or dies with the group held, a
/// leader can let the group go on without it.
///
/// # Errors
/// [`SwitchError::Deposed`] if another leader has taken over, [`SwitchError::Failed`] at the first
/// step that fails.
pub async fn switch<P: RankPort>(
    crew: &mut Crew<P>,
    near: usize,
    version: u64,
    map: &GroupMap,
) -> Result<u64, SwitchError> {
    let all: Vec<usize> = (0..crew.len()).collect();
    let prepare = RankOrder::Prepare { version, map: map.clone() };
    // Once, so that orders that get lost show before the group is held.
    order_ranks(crew, "prepare", &prepare, all.clone(), 1).await?;
    wait_prepared(crew, version).await?;
    let holder = (near + 1) % crew.len();
    let ends = armed_last(near, crew.len());
    let pass = hold(crew, near, ends[0], holder).await?;
    let arm = RankOrder::Arm { version, pass };
    let others = all.into_iter().filter(|rank| !ends.contains(rank)).collect();
    order_ranks(crew, "arm", &arm, others, TRIES).await?;
    for end in ends {
        // An order that a frozen machine takes up when it wakes would leave open what it has done.
        if crew.state_of(end).await.is_none() {
            return Err(SwitchError::Failed("arm last", format!("rank {end} gives no answer")));
        }
        order_ranks(crew, "arm last", &arm, vec![end], TRIES).await?;
    }
    release(crew, holder, pass).await?;
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
pub fn armed_last(near: usize, ranks: usize) -> SmallVec<[usize; 2]> {
    let via = (near + 2) % ranks.max(1);
    if via == near { smallvec![near] } else { smallvec![via, near] }
}

/// Has the group held before a pass to come, and gives the pass.
async fn hold<P: RankPort>(
    crew: &mut Crew<P>,
    near: usize,
    via: usize,
    holder: usize,
) -> Result<u64, SwitchError> {
    let failed = |detail: String| SwitchError::Failed("hold", detail);
    let own = crew.state_of(near).await;
    let own = own.ok_or_else(|| failed("no answer nearby".to_owned()))?;
    let pass = own.pass + LEAD_PASSES;
    let held = crew.command_via(via, holder, RankOrder::Hold { pass }).await?;
    held.map(|()| pass).map_err(|err| failed(format!("rank {holder}: {err}")))
}

/// Gives an order to ranks, again to those without an answer.
async fn order_ranks<P: RankPort>(
    crew: &mut Crew<P>,
    step: &'static str,
    order: &RankOrder,
    ranks: Vec<usize>,
    tries: usize,
) -> Result<(), SwitchError> {
    let mut left = ranks;
    for _ in 0..tries {
        let orders = left.iter().map(|rank| (*rank, order.clone())).collect();
        let ended = crew.command(orders).await?;
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
async fn wait_prepared<P: RankPort>(crew: &Crew<P>, version: u64) -> Result<(), SwitchError> {
    let failed = |detail: &str| SwitchError::Failed("copy", detail.to_owned());
    let end = Instant::now() + COPY_TIME;
    let mut left: Vec<usize> = (0..crew.len()).collect();
    loop {
        let states = crew.states_of(&left).await.into_iter().collect::<Option<Vec<RankState>>>();
        let states = states.ok_or_else(|| failed("a rank gave no answer"))?;
        if states.iter().any(|state| !state.open || state.epoch != crew.epoch()) {
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
async fn release<P: RankPort>(
    crew: &mut Crew<P>,
    rank: usize,
    pass: u64,
) -> Result<(), SwitchError> {
    loop {
        let ended = crew.command(vec![(rank, RankOrder::Release { pass })]).await?;
        match ended.first() {
            Some(Err(RankError::Unknown)) => {}
            // The group no longer stands there, as after a loss of a rank.
            Some(Err(_)) | Some(Ok(())) | None => return Ok(()),
        }
    }
}

/// Undoes what is left of a switch, and gives the number of orders that it took. `ends` are the ranks
/// that the leader which began the switch arms last, if one did. Returns only when
/// the group is quiet, is formed anew, or has another leader.
///
/// # Errors
/// [`SwitchError::Deposed`] if another leader has taken over, [`SwitchError::Failed`] if the group
/// is formed anew.
pub async fn settle_all<P: RankPort>(
    crew: &mut Crew<P>,
    near: usize,
    ends: &[usize],
) -> Result<usize, SwitchError> {
    let mut commands = 0;
    loop {
        let states = crew.states().await;
        if states.iter().flatten().any(|state| state.epoch != crew.epoch()) {
            return Err(SwitchError::Failed("settle", "the group is formed anew".to_owned()));
        }
        let orders: Vec<(usize, RankOrder)> = match settle(&states, crew.marks(), near, ends) {
            Settle::Quiet => return Ok(commands),
            Settle::Blocked => {
                sleep(BLOCKED_PAUSE).await;
                continue;
            }
            Settle::Hold { rank, pass } => vec![(rank, RankOrder::Hold { pass })],
            Settle::Fence(ranks) => {
                ranks.into_iter().map(|rank| (rank, RankOrder::Fence)).collect()
            }
            Settle::Disarm(armed) => {
                let disarm = |(rank, version)| (rank, RankOrder::Disarm { version });
                armed.into_iter().map(disarm).collect()
            }
            Settle::Release(held) => {
                let release = |(rank, pass)| (rank, RankOrder::Release { pass });
                held.into_iter().map(release).collect()
            }
        };
        commands += orders.len();
        let ended = crew.command(orders).await?;
        if ended.iter().any(Result::is_err) {
            sleep(BLOCKED_PAUSE).await;
        }
    }
}

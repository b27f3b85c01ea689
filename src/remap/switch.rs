use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::{Crew, Deposed, GroupMap, RankError, RankOrder, RankPort, RankState, Settle, settle};

/// Passes between the one that runs and the switch, so that every rank has its order before.
const LEAD_PASSES: u64 = 3;
/// Pause between two readings while experts are copied.
const COPY_PAUSE: Duration = Duration::from_millis(30);
/// Longest time for experts to be copied.
const COPY_TIME: Duration = Duration::from_millis(1_500);
/// Times that an order is given again that had no answer.
const TRIES: usize = 3;
/// Pause before a group that is not known is read again.
const BLOCKED_PAUSE: Duration = Duration::from_millis(60);

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
pub(super) async fn switch<P: RankPort>(
    crew: &mut Crew<P>,
    near: usize,
    version: u64,
    map: &GroupMap,
) -> Result<u64, SwitchError> {
    let prepare = RankOrder::Prepare { version, map: map.clone() };
    order_all(crew, "prepare", &prepare, 1).await?;
    let states = wait_prepared(crew, version).await?;
    let pass =
        states[near].pass.max(states.iter().map(|s| s.pass).max().unwrap_or(0)) + LEAD_PASSES;
    let hold = vec![(near, RankOrder::Hold { pass })];
    require("hold", &crew.command(hold).await?)?;
    order_all(crew, "arm", &RankOrder::Arm { version, pass }, TRIES).await?;
    release(crew, near, pass).await?;
    Ok(pass)
}

/// Gives an order to every rank, again to those without an answer.
async fn order_all<P: RankPort>(
    crew: &mut Crew<P>,
    step: &'static str,
    order: &RankOrder,
    tries: usize,
) -> Result<(), SwitchError> {
    let mut left: Vec<usize> = (0..crew.len()).collect();
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

fn require(step: &'static str, ended: &[Result<(), RankError>]) -> Result<(), SwitchError> {
    match ended.iter().find_map(|ended| ended.err()) {
        None => Ok(()),
        Some(err) => Err(SwitchError::Failed(step, err.to_string())),
    }
}

/// Waits until all ranks hold what a map needs.
async fn wait_prepared<P: RankPort>(
    crew: &Crew<P>,
    version: u64,
) -> Result<Vec<RankState>, SwitchError> {
    let failed = |detail: &str| SwitchError::Failed("copy", detail.to_owned());
    let end = Instant::now() + COPY_TIME;
    loop {
        let states = crew.states().await.into_iter().collect::<Option<Vec<RankState>>>();
        let states = states.ok_or_else(|| failed("a rank gave no answer"))?;
        if states.iter().any(|state| !state.open || state.epoch != crew.epoch()) {
            return Err(failed("the group is formed anew"));
        }
        if states.iter().any(|state| !state.is_quiet()) {
            return Err(failed("another switch is under way"));
        }
        if states.iter().all(|state| state.prepared == Some(version)) {
            return Ok(states);
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

/// Undoes what is left of a switch, and gives the number of orders that it took. Returns only when
/// the group is quiet, is formed anew, or has another leader.
pub(super) async fn settle_all<P: RankPort>(
    crew: &mut Crew<P>,
    near: usize,
    maps: impl Fn(usize) -> Option<(u64, GroupMap)>,
) -> Result<usize, SwitchError> {
    let mut commands = 0;
    loop {
        let states = crew.states().await;
        let anew = |state: &RankState| state.epoch != crew.epoch();
        if states.iter().flatten().any(anew) {
            return Err(SwitchError::Failed("settle", "the group is formed anew".to_owned()));
        }
        let orders: Vec<(usize, RankOrder)> = match settle(&states, crew.marks(), near) {
            Settle::Quiet => return Ok(commands),
            Settle::Blocked => {
                sleep(BLOCKED_PAUSE).await;
                continue;
            }
            Settle::Hold { rank, pass } => vec![(rank, RankOrder::Hold { pass })],
            Settle::Withdraw { disarm, fence } => {
                let disarm = disarm.into_iter();
                let disarm = disarm.map(|(rank, version)| (rank, RankOrder::Disarm { version }));
                let fence = fence.into_iter().filter_map(|rank| {
                    let (version, map) = maps(rank)?;
                    Some((rank, RankOrder::Prepare { version, map }))
                });
                disarm.chain(fence).collect()
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

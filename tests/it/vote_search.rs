//! A model check of the vote on expert maps, which runs the voters' own code for three ranks and
//! two leaders. It explores every interleaving without restarts: any message may arrive late, twice
//! or never, and any rank may lag. Random sequences of actions also restart a rank.

use std::collections::HashSet;

use ebonyusher::switch::{
    Ballot, MapId, Proposal, ProposalId, ProposalReply, RankReport, StepAdmission, Verdict,
    VoteStatus, Voter, choose_map,
};
use proptest::prelude::*;

const RANKS: usize = 3;
const LEADERS: usize = 2;
/// Last step that is explored.
const LAST_STEP: u64 = 2;
/// Epoch in which the group is formed again after a restart.
const NEXT_EPOCH: u64 = 9;
/// The incarnation of a restarted rank is its number plus this.
const RESTARTED_INCARNATION: u64 = 100;

/// The state of the ranks, and every message that may still arrive.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    voters: [Voter; RANKS],
    /// Votes given so far, by proposal, rank and status. Any of them may arrive at any time.
    votes: [[[bool; 3]; RANKS]; LEADERS],
    /// Whether a process may report a verdict at any time, by proposal and verdict.
    verdicts: [[bool; 2]; LEADERS],
    /// Epoch of each rank and the last step that it entered.
    entered: [(u64, u64); RANKS],
    /// Map used in each step of each epoch.
    used: Vec<((u64, u64), MapId)>,
    /// Reports of the ranks that are frozen for the next epoch.
    reports: [Option<RankReport>; RANKS],
    /// Map that the next epoch starts from, once it is chosen.
    formed: Option<MapId>,
    /// Restarts so far.
    restarts: u8,
}

/// What may happen next, by leader and rank or by rank alone.
#[derive(Clone, Copy, Debug)]
enum Action {
    Propose(usize, usize),
    Ask(usize, usize),
    Settle(usize, usize, Verdict),
    Enter(usize),
    Restart(usize),
    Freeze(usize),
    Form(usize),
}

fn proposal(leader: usize) -> Proposal {
    let fence = leader as u64 + 1;
    Proposal {
        id: ProposalId { epoch: 1, fence, serial: 0 },
        base: MapId::default(),
        map: MapId { version: 1, fence },
        from: 2,
    }
}

fn start() -> State {
    let formed = |rank: u64| {
        let mut voter = Voter::new(rank);
        voter.freeze(1);
        assert!(voter.form(rank, 1, MapId::default()));
        voter
    };
    State {
        voters: [formed(0), formed(1), formed(2)],
        votes: Default::default(),
        verdicts: Default::default(),
        entered: [(1, 0); RANKS],
        used: Vec::new(),
        reports: [None; RANKS],
        formed: None,
        restarts: 0,
    }
}

fn actions(restarts: u8) -> Vec<Action> {
    let mut actions = Vec::new();
    for rank in 0..RANKS {
        actions.push(Action::Enter(rank));
        if restarts > 0 {
            actions.extend([Action::Restart(rank), Action::Freeze(rank), Action::Form(rank)]);
        }
        for leader in 0..LEADERS {
            actions.extend([Action::Propose(leader, rank), Action::Ask(leader, rank)]);
            actions.extend(
                [Verdict::Commit, Verdict::Abort]
                    .map(|verdict| Action::Settle(leader, rank, verdict)),
            );
        }
    }
    actions
}

/// Returns the state after an action, or `None` if the action can't happen or changes nothing.
fn successor(state: &State, action: Action, restarts: u8) -> Option<State> {
    let mut next = state.clone();
    match action {
        Action::Propose(leader, rank) => {
            if let ProposalReply::Vote(status) = next.voters[rank].propose(&proposal(leader), true)
            {
                record_vote(&mut next, leader, rank, status);
            }
        }
        Action::Ask(leader, rank) => {
            let status = next.voters[rank].ask(proposal(leader).id)?;
            record_vote(&mut next, leader, rank, status);
        }
        Action::Settle(leader, rank, verdict) => {
            if !state.verdicts[leader][verdict as usize] {
                return None;
            }
            next.voters[rank].settle(proposal(leader).id, verdict);
        }
        Action::Enter(rank) => enter(&mut next, rank)?,
        Action::Restart(rank) => {
            if state.restarts >= restarts {
                return None;
            }
            next.restarts += 1;
            next.voters[rank] = Voter::new(RESTARTED_INCARNATION + rank as u64);
            next.entered[rank] = (0, 0);
        }
        Action::Freeze(rank) => {
            if state.restarts == 0 {
                return None;
            }
            let report = next.voters[rank].freeze(NEXT_EPOCH)?;
            next.reports[rank] = Some(report);
            choose_epoch_map(&mut next);
        }
        Action::Form(rank) => {
            let map = state.formed?;
            let incarnation = state.reports[rank]?.incarnation;
            if next.voters[rank].form(incarnation, NEXT_EPOCH, map) {
                next.entered[rank] = (NEXT_EPOCH, 0);
            }
        }
    }
    (next != *state).then_some(next)
}

/// Records a vote of a rank. From then on a process may report any verdict that follows from some
/// of the votes given so far.
fn record_vote(state: &mut State, leader: usize, rank: usize, status: VoteStatus) {
    state.votes[leader][rank][status as usize] = true;
    let mut ballots = vec![Ballot::new(RANKS)];
    for (rank, votes) in state.votes[leader].iter().enumerate() {
        let statuses = [VoteStatus::Yes, VoteStatus::No, VoteStatus::Committed];
        let known = statuses.into_iter().filter(|status| votes[*status as usize]);
        let extended: Vec<Ballot> = known
            .flat_map(|status| {
                ballots.iter().cloned().map(move |mut ballot| {
                    ballot.record(rank, status);
                    ballot
                })
            })
            .collect();
        ballots.extend(extended);
    }
    for verdict in ballots.iter().filter_map(Ballot::verdict) {
        state.verdicts[leader][verdict as usize] = true;
    }
}

/// Has a rank enter its next step once all ranks are in its epoch and have reached its current
/// step. Returns `None` before that and after [`LAST_STEP`].
fn enter(state: &mut State, rank: usize) -> Option<()> {
    let (epoch, step) = state.entered[rank];
    let in_lock_step = state.entered.iter().all(|(other, at)| *other == epoch && *at >= step);
    if !in_lock_step || step == LAST_STEP {
        return None;
    }
    let StepAdmission::Run(epoch, map) = state.voters[rank].enter(step + 1) else {
        return Some(());
    };
    state.entered[rank] = (epoch, step + 1);
    let known = state.used.iter().find(|(at, _)| *at == (epoch, step + 1));
    match known {
        Some((_, other)) => assert_eq!(*other, map, "two maps in step {} of {epoch}", step + 1),
        None => state.used.push(((epoch, step + 1), map)),
    }
    state.used.sort_unstable();
    Some(())
}

/// Chooses the map of the new epoch once its leader has the reports of all ranks.
fn choose_epoch_map(state: &mut State) {
    let reports: Option<Vec<RankReport>> = state.reports.iter().copied().collect();
    let Some(reports) = reports.filter(|_| state.formed.is_none()) else {
        return;
    };
    state.formed = Some(choose_map(&reports));
}

fn assert_invariants(state: &State) {
    for (leader, verdicts) in state.verdicts.iter().enumerate() {
        assert!(!(verdicts[0] && verdicts[1]), "both verdicts for the proposal of leader {leader}");
    }
    assert!(
        !(state.verdicts[0][0] && state.verdicts[1][0]),
        "two maps of one version were committed"
    );
    let decided = (0..LEADERS).filter(|leader| state.verdicts[*leader][0]);
    let decided = decided.map(|leader| proposal(leader).map).max();
    if let (Some(formed), Some(decided)) = (state.formed, decided) {
        assert!(formed >= decided, "the decided map {decided} was reverted to {formed}");
    }
}

/// Explores every reachable state, and returns how many there are.
fn search(restarts: u8) -> usize {
    let actions = actions(restarts);
    let mut seen = HashSet::from([start()]);
    let mut frontier = vec![start()];
    while let Some(state) = frontier.pop() {
        for action in &actions {
            let Some(next) = successor(&state, *action, restarts) else {
                continue;
            };
            if !seen.contains(&next) {
                assert_invariants(&next);
                seen.insert(next.clone());
                frontier.push(next);
            }
        }
    }
    seen.len()
}

#[test]
fn no_interleaving_uses_two_maps_in_one_step() {
    let states = search(0);

    assert!(states > 10_000, "only {states} states");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn no_sequence_with_a_restart_reverts_a_decided_map(
        picks in prop::collection::vec(any::<u16>(), 1..120),
    ) {
        const RESTARTS: u8 = 1;
        let actions = actions(RESTARTS);
        let mut state = start();
        for pick in picks {
            let action = actions[usize::from(pick) % actions.len()];
            if let Some(next) = successor(&state, action, RESTARTS) {
                assert_invariants(&next);
                state = next;
            }
        }
    }
}

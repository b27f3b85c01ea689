//! A search through every interleaving of the agreement's own code, for three ranks and two
//! leaders: any message may come late, twice or never, any rank may lag or start anew.

use std::collections::HashSet;

use ebonyusher::switch::{
    Ballot, MapId, Proposal, ProposalId, ProposalReply, RankReport, StepAdmission, Verdict,
    VoteStatus, Voter, choose_map,
};
use proptest::prelude::*;

const RANKS: usize = 3;
const LEADERS: usize = 2;
const LAST_STEP: u64 = 2;
const NEXT_EPOCH: u64 = 9;
/// Lives of ranks that have started anew are counted from here.
const RESTARTED_INCARNATION: u64 = 100;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    voters: [Voter; RANKS],
    /// Where ranks were heard to stand, by proposal and rank. Such a message may come at any time.
    votes: [[[bool; 3]; RANKS]; LEADERS],
    /// Results that somebody may tell at any time.
    results: [[bool; 2]; LEADERS],
    /// Last step that each rank entered, and its epoch.
    entered: [(u64, u64); RANKS],
    /// Map used in each step of each epoch.
    used: Vec<((u64, u64), MapId)>,
    reports: [Option<RankReport>; RANKS],
    formed: Option<MapId>,
    restarts: u8,
}

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
        results: Default::default(),
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
                    .map(|result| Action::Settle(leader, rank, result)),
            );
        }
    }
    actions
}

/// The world after an act; nothing if the act can't happen or changes nothing.
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
            if !state.results[leader][verdict as usize] {
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

/// Somebody hears where a rank stands. From then on it may tell any result that follows from some
/// of what has been heard.
fn record_vote(state: &mut State, leader: usize, rank: usize, status: VoteStatus) {
    state.votes[leader][rank][status as usize] = true;
    let mut choices = vec![Ballot::new(RANKS)];
    for (rank, votes) in state.votes[leader].iter().enumerate() {
        let statuses = [VoteStatus::Yes, VoteStatus::No, VoteStatus::Committed];
        let known = statuses.into_iter().filter(|status| votes[*status as usize]);
        let more: Vec<Ballot> = known
            .flat_map(|status| {
                choices.iter().cloned().map(move |mut ballot| {
                    ballot.record(rank, status);
                    ballot
                })
            })
            .collect();
        choices.extend(more);
    }
    for verdict in choices.iter().filter_map(Ballot::verdict) {
        state.results[leader][verdict as usize] = true;
    }
}

/// A rank enters its next step once all ranks of its epoch have ended the one before.
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

/// The leader of the new epoch has heard from all ranks and chooses the map.
fn choose_epoch_map(state: &mut State) {
    let reports: Option<Vec<RankReport>> = state.reports.iter().copied().collect();
    let Some(reports) = reports.filter(|_| state.formed.is_none()) else {
        return;
    };
    state.formed = Some(choose_map(&reports));
}

fn assert_invariants(state: &State) {
    for (leader, results) in state.results.iter().enumerate() {
        assert!(!(results[0] && results[1]), "both results for {leader}");
    }
    assert!(!(state.results[0][0] && state.results[1][0]), "two maps of one version agreed");
    let decided = (0..LEADERS).filter(|leader| state.results[*leader][0]);
    let decided = decided.map(|leader| proposal(leader).map).max();
    if let (Some(formed), Some(decided)) = (state.formed, decided) {
        assert!(formed >= decided, "the decided map {decided} was undone by {formed}");
    }
}

/// Goes through every world that can come about, and tells how many there are.
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

    assert!(states > 10_000, "only {states} worlds");
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

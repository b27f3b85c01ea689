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
const NEW_LIFE: u64 = 100;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    voters: [Voter; RANKS],
    /// Where ranks were heard to stand, by proposal and rank. Such a message may come at any time.
    heard: [[[bool; 3]; RANKS]; LEADERS],
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
enum Act {
    Propose(usize, usize),
    Ask(usize, usize),
    Tell(usize, usize, Verdict),
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

fn start() -> World {
    let formed = |rank: u64| {
        let mut voter = Voter::new(rank);
        voter.freeze(1);
        assert!(voter.form(rank, 1, MapId::default()));
        voter
    };
    World {
        voters: [formed(0), formed(1), formed(2)],
        heard: Default::default(),
        results: Default::default(),
        entered: [(1, 0); RANKS],
        used: Vec::new(),
        reports: [None; RANKS],
        formed: None,
        restarts: 0,
    }
}

fn acts(restarts: u8) -> Vec<Act> {
    let mut acts = Vec::new();
    for rank in 0..RANKS {
        acts.push(Act::Enter(rank));
        if restarts > 0 {
            acts.extend([Act::Restart(rank), Act::Freeze(rank), Act::Form(rank)]);
        }
        for leader in 0..LEADERS {
            acts.extend([Act::Propose(leader, rank), Act::Ask(leader, rank)]);
            acts.extend(
                [Verdict::Commit, Verdict::Abort].map(|result| Act::Tell(leader, rank, result)),
            );
        }
    }
    acts
}

/// The world after an act; nothing if the act can't happen or changes nothing.
fn after(world: &World, act: Act, restarts: u8) -> Option<World> {
    let mut next = world.clone();
    match act {
        Act::Propose(leader, rank) => {
            if let ProposalReply::Vote(stand) = next.voters[rank].propose(&proposal(leader), true) {
                hear(&mut next, leader, rank, stand);
            }
        }
        Act::Ask(leader, rank) => {
            let stand = next.voters[rank].ask(proposal(leader).id)?;
            hear(&mut next, leader, rank, stand);
        }
        Act::Tell(leader, rank, verdict) => {
            if !world.results[leader][verdict as usize] {
                return None;
            }
            next.voters[rank].settle(proposal(leader).id, verdict);
        }
        Act::Enter(rank) => enter(&mut next, rank)?,
        Act::Restart(rank) => {
            if world.restarts >= restarts {
                return None;
            }
            next.restarts += 1;
            next.voters[rank] = Voter::new(NEW_LIFE + rank as u64);
            next.entered[rank] = (0, 0);
        }
        Act::Freeze(rank) => {
            if world.restarts == 0 {
                return None;
            }
            let report = next.voters[rank].freeze(NEXT_EPOCH)?;
            next.reports[rank] = Some(report);
            choose(&mut next);
        }
        Act::Form(rank) => {
            let map = world.formed?;
            let life = world.reports[rank]?.incarnation;
            if next.voters[rank].form(life, NEXT_EPOCH, map) {
                next.entered[rank] = (NEXT_EPOCH, 0);
            }
        }
    }
    (next != *world).then_some(next)
}

/// Somebody hears where a rank stands. From then on it may tell any result that follows from some
/// of what has been heard.
fn hear(world: &mut World, leader: usize, rank: usize, stand: VoteStatus) {
    world.heard[leader][rank][stand as usize] = true;
    let mut choices = vec![Ballot::new(RANKS)];
    for (rank, heard) in world.heard[leader].iter().enumerate() {
        let stands = [VoteStatus::Yes, VoteStatus::No, VoteStatus::Committed];
        let known = stands.into_iter().filter(|stand| heard[*stand as usize]);
        let more: Vec<Ballot> = known
            .flat_map(|stand| {
                choices.iter().cloned().map(move |mut ballot| {
                    ballot.record(rank, stand);
                    ballot
                })
            })
            .collect();
        choices.extend(more);
    }
    for verdict in choices.iter().filter_map(Ballot::verdict) {
        world.results[leader][verdict as usize] = true;
    }
}

/// A rank enters its next step once all ranks of its epoch have ended the one before.
fn enter(world: &mut World, rank: usize) -> Option<()> {
    let (epoch, step) = world.entered[rank];
    let together = world.entered.iter().all(|(other, at)| *other == epoch && *at >= step);
    if !together || step == LAST_STEP {
        return None;
    }
    let StepAdmission::Run(epoch, map) = world.voters[rank].enter(step + 1) else {
        return Some(());
    };
    world.entered[rank] = (epoch, step + 1);
    let known = world.used.iter().find(|(at, _)| *at == (epoch, step + 1));
    match known {
        Some((_, other)) => assert_eq!(*other, map, "two maps in step {} of {epoch}", step + 1),
        None => world.used.push(((epoch, step + 1), map)),
    }
    world.used.sort_unstable();
    Some(())
}

/// The leader of the new epoch has heard from all ranks and chooses the map.
fn choose(world: &mut World) {
    let reports: Option<Vec<RankReport>> = world.reports.iter().copied().collect();
    let Some(reports) = reports.filter(|_| world.formed.is_none()) else {
        return;
    };
    world.formed = Some(choose_map(&reports));
}

fn check(world: &World) {
    for (leader, results) in world.results.iter().enumerate() {
        assert!(!(results[0] && results[1]), "both results for {leader}");
    }
    assert!(!(world.results[0][0] && world.results[1][0]), "two maps of one version agreed");
    let decided = (0..LEADERS).filter(|leader| world.results[*leader][0]);
    let decided = decided.map(|leader| proposal(leader).map).max();
    if let (Some(formed), Some(decided)) = (world.formed, decided) {
        assert!(formed >= decided, "the decided map {decided} was undone by {formed}");
    }
}

/// Goes through every world that can come about, and tells how many there are.
fn search(restarts: u8) -> usize {
    let acts = acts(restarts);
    let mut seen = HashSet::from([start()]);
    let mut open = vec![start()];
    while let Some(world) = open.pop() {
        for act in &acts {
            let Some(next) = after(&world, *act, restarts) else {
                continue;
            };
            if !seen.contains(&next) {
                check(&next);
                seen.insert(next.clone());
                open.push(next);
            }
        }
    }
    seen.len()
}

#[test]
fn no_interleaving_gives_two_maps_in_one_step() {
    let worlds = search(0);

    assert!(worlds > 10_000, "only {worlds} worlds");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn no_sequence_with_restarts_undoes_a_decided_map(picks in prop::collection::vec(any::<u16>(), 1..120)) {
        const RESTARTS: u8 = 1;
        let acts = acts(RESTARTS);
        let mut world = start();
        for pick in picks {
            let act = acts[usize::from(pick) % acts.len()];
            if let Some(next) = after(&world, act, RESTARTS) {
                check(&next);
                world = next;
            }
        }
    }
}

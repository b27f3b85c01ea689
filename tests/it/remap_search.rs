//! A search through every interleaving of what an earlier leader may still do with the decisions of
//! the next one, for three ranks: orders late, doubled or unanswered, reports old, and the ranks
//! that are armed last out of reach. The next leader may also be the earlier one, after a failure.

use std::collections::HashSet;

use ebonyusher::remap::{Armed, Mark, RankState, Settle, settle};
use rstest::rstest;

const RANKS: usize = 3;
/// The pass of the switch, and the one before.
const PASS: u64 = 2;
const VERSION: u64 = 1;
/// Rank beside the earlier leader, the one it holds the group at, and the one it does so from.
const EARLIER: usize = 0;
const HOLDER: usize = 1;
const VIA: usize = 2;
/// The ranks that the earlier leader arms last.
const ENDS: [usize; 2] = [VIA, EARLIER];
/// Numbers of the earlier leader's orders lie below.
const NEXT_FENCE: u8 = 1;
/// Orders that the next leader gives before a path ends: all that settling takes, and some again.
const MOST_COMMANDS: u8 = 9;
/// The same where both ranks that are armed last may be out of reach, which makes more worlds.
const MOST_COMMANDS_OF_HOLDER: u8 = 7;

/// What is left out of the protocol, to show that the search finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Variant {
    Whole,
    /// Reports count though they may be older than the last order.
    OldReports,
    /// The earlier leader arms the rank beside it first.
    OwnFirst,
    /// The earlier leader arms the rank from which it holds the group together with the others.
    ViaEarly,
    /// The next leader does not hold the group.
    NoHold,
    /// Orders carry no numbers.
    NoFence,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Rank {
    fence: u8,
    armed: bool,
    held: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Known {
    fenced: bool,
    unsure: bool,
    holds: bool,
    touched: bool,
}

/// An order of the earlier leader: once sent it may be carried out at any time, and again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Sent {
    hold: bool,
    arm: [bool; RANKS],
    release: bool,
    /// Confirmed to the earlier leader.
    held: bool,
    armed: [bool; RANKS],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Order {
    Hold,
    Fence,
    Disarm,
    Release,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    /// Rank beside the next leader.
    next: usize,
    ranks: [Rank; RANKS],
    sent: Sent,
    begun: bool,
    known: [Known; RANKS],
    /// What the next leader has read so far in this round; `None` inside for out of reach.
    read: Vec<Option<(bool, bool)>>,
    /// Its orders that are on the way, and those that are unanswered and may come late.
    pending: Vec<(usize, Order)>,
    late: Vec<(usize, Order, u8)>,
    fence: u8,
    commands: u8,
}

fn start(next: usize) -> World {
    World {
        next,
        ranks: [Rank::default(); RANKS],
        sent: Sent::default(),
        begun: false,
        known: [Known::default(); RANKS],
        read: Vec::new(),
        pending: Vec::new(),
        late: Vec::new(),
        fence: NEXT_FENCE,
        commands: 0,
    }
}

impl World {
    /// All worlds that one event leads to.
    fn successors(&self, variant: Variant) -> Vec<World> {
        let mut worlds = Vec::new();
        self.begin_pass(&mut worlds);
        self.earlier_leader(variant, &mut worlds);
        self.late_orders(variant, &mut worlds);
        self.next_leader(variant, &mut worlds);
        worlds
    }

    fn is_split(&self) -> bool {
        self.begun && self.ranks.iter().any(|rank| rank.armed != self.ranks[0].armed)
    }

    fn begin_pass(&self, worlds: &mut Vec<World>) {
        if !self.begun && self.ranks.iter().all(|rank| !rank.held) {
            worlds.push(World { begun: true, ..self.clone() });
        }
    }

    fn earlier_leader(&self, variant: Variant, worlds: &mut Vec<World>) {
        let sent = self.sent;
        let mut send = |change: &dyn Fn(&mut Sent)| {
            let mut world = self.clone();
            change(&mut world.sent);
            if world != *self {
                worlds.push(world);
            }
        };
        send(&|sent| sent.hold = true);
        if sent.held {
            for rank in 0..RANKS {
                let may = match (variant, rank) {
                    (Variant::OwnFirst, EARLIER) | (Variant::ViaEarly, VIA) => true,
                    (Variant::OwnFirst, _) => sent.armed[EARLIER],
                    (_, HOLDER) => true,
                    (_, VIA) => sent.armed[HOLDER],
                    (_, _) => sent.armed[HOLDER] && sent.armed[VIA],
                };
                if may {
                    send(&|sent| sent.arm[rank] = true);
                }
            }
        }
        if sent.armed.iter().all(|armed| *armed) {
            send(&|sent| sent.release = true);
        }
    }

    /// Carries out an order of the earlier leader, or a late one of the next.
    fn late_orders(&self, variant: Variant, worlds: &mut Vec<World>) {
        let fence = |world: &World, rank: usize, fence: u8| {
            variant == Variant::NoFence || fence >= world.ranks[rank].fence
        };
        if self.sent.hold && fence(self, HOLDER, 0) && !self.begun && !self.ranks[HOLDER].held {
            let mut world = self.clone();
            world.ranks[HOLDER].held = true;
            world.sent.held = true;
            worlds.push(world.clone());
            world.sent.held = self.sent.held;
            worlds.push(world);
        }
        for rank in 0..RANKS {
            if self.sent.arm[rank] && fence(self, rank, 0) && !self.begun {
                let mut world = self.clone();
                world.ranks[rank].armed = true;
                worlds.push(world.clone());
                world.sent.armed[rank] = true;
                worlds.push(world);
            }
        }
        if self.sent.release && fence(self, HOLDER, 0) && self.ranks[HOLDER].held {
            let mut world = self.clone();
            world.ranks[HOLDER].held = false;
            worlds.push(world);
        }
        for at in 0..self.late.len() {
            let (rank, order, number) = self.late[at];
            let mut world = self.clone();
            world.late.remove(at);
            if fence(self, rank, number) {
                world.carry_out(rank, order, number);
            }
            worlds.push(world);
        }
    }

    fn next_leader(&self, variant: Variant, worlds: &mut Vec<World>) {
        if let Some((rank, order)) = self.pending.first().copied() {
            return self.deliver(rank, order, variant, worlds);
        }
        if self.read.len() < RANKS {
            return self.read_one(variant, worlds);
        }
        worlds.extend(self.decide(variant));
    }

    fn read_one(&self, variant: Variant, worlds: &mut Vec<World>) {
        let rank = self.read.len();
        let fresh = (self.ranks[rank].armed && !self.begun, self.ranks[rank].held);
        let mut seen = vec![Some(fresh)];
        if !self.known[rank].touched || variant == Variant::OldReports {
            seen.push(Some((false, false)));
        }
        if ENDS.contains(&rank) && rank != self.next {
            seen.push(None);
        }
        for report in seen {
            let mut world = self.clone();
            world.read.push(report);
            worlds.push(world);
        }
    }

    fn decide(&self, variant: Variant) -> Option<World> {
        let mut states: Vec<Option<RankState>> =
            self.read.iter().enumerate().map(|(rank, read)| Some(report(rank, (*read)?))).collect();
        let switching = states.iter().flatten().any(|state| !state.is_quiet());
        if let Some(own) =
            states[self.next].as_mut().filter(|_| switching && variant == Variant::NoHold)
        {
            own.held = Some(PASS);
        }
        let marks: Vec<Mark> = self.known.iter().map(|known| mark(*known, variant)).collect();
        let mut orders: Vec<(usize, Order)> = match settle(&states, &marks, self.next, &ENDS) {
            Settle::Quiet => return None,
            Settle::Blocked => Vec::new(),
            Settle::Hold { rank, .. } => vec![(rank, Order::Hold)],
            Settle::Fence(ranks) => ranks.into_iter().map(|rank| (rank, Order::Fence)).collect(),
            Settle::Disarm(armed) => {
                armed.into_iter().map(|(rank, _)| (rank, Order::Disarm)).collect()
            }
            Settle::Release(held) => {
                held.into_iter().map(|(rank, _)| (rank, Order::Release)).collect()
            }
        };
        let commands = self.commands + orders.len() as u8;
        let most = if self.next == HOLDER { MOST_COMMANDS_OF_HOLDER } else { MOST_COMMANDS };
        if commands > most {
            return None;
        }
        orders.sort_by_key(|(rank, _)| *rank);
        Some(World { read: Vec::new(), pending: orders, commands, ..self.clone() })
    }

    /// An order of the next leader arrives and is answered, or not answered, or comes late.
    fn deliver(&self, rank: usize, order: Order, variant: Variant, worlds: &mut Vec<World>) {
        let mut world = self.clone();
        world.pending.remove(0);
        world.fence += 1;
        let number = world.fence;
        world.known[rank].touched = true;
        if self.late.is_empty() {
            let mut late = world.clone();
            late.known[rank].unsure = true;
            late.late.push((rank, order, number));
            worlds.push(late);
        }
        let fits = variant == Variant::NoFence || number >= world.ranks[rank].fence;
        if fits && world.carry_out(rank, order, number) {
            world.known[rank].fenced = true;
            world.known[rank].unsure = false;
            match order {
                Order::Hold => world.known[rank].holds = true,
                Order::Release => world.known[rank].holds = false,
                Order::Fence | Order::Disarm => {}
            }
        }
        worlds.push(world);
    }

    fn carry_out(&mut self, rank: usize, order: Order, number: u8) -> bool {
        let begun = self.begun;
        let member = &mut self.ranks[rank];
        match order {
            Order::Hold if begun => return false,
            Order::Hold => member.held = true,
            Order::Fence => {}
            // The map in force can't be disarmed.
            Order::Disarm if begun => return false,
            Order::Disarm => member.armed = false,
            Order::Release => member.held = false,
        }
        member.fence = member.fence.max(number);
        true
    }
}

fn report(rank: usize, (armed, held): (bool, bool)) -> RankState {
    RankState {
        rank,
        size: RANKS,
        epoch: 1,
        open: true,
        pass: PASS - 1,
        map: 0,
        prepared: Some(VERSION),
        armed: armed.then_some(Armed { version: VERSION, pass: PASS }),
        held: held.then_some(PASS),
        running: 1,
        lag_ms: 0,
    }
}

fn mark(known: Known, variant: Variant) -> Mark {
    let Known { fenced, unsure, holds, .. } = known;
    let holds = holds || variant == Variant::NoHold;
    Mark { fenced, unsure, holds, unarmed: false, touched: None }
}

/// The worlds on the way to a pass that begins under two maps, if there is one, and the number of
/// worlds seen.
fn search(variant: Variant, next: usize) -> (Option<Vec<World>>, usize) {
    let mut seen = HashSet::new();
    let mut worlds = vec![(start(next), 0)];
    let mut open = vec![0];
    while let Some(at) = open.pop() {
        for next in worlds[at].0.successors(variant) {
            if next.is_split() {
                return (Some(way_to(&worlds, at, next)), seen.len());
            }
            if seen.insert(next.clone()) {
                open.push(worlds.len());
                worlds.push((next, at));
            }
        }
    }
    (None, seen.len())
}

fn way_to(worlds: &[(World, usize)], mut at: usize, last: World) -> Vec<World> {
    let mut way = vec![last];
    while at > 0 {
        way.push(worlds[at].0.clone());
        at = worlds[at].1;
    }
    way.reverse();
    way
}

#[rstest]
#[case(EARLIER)]
#[case(HOLDER)]
#[case(VIA)]
fn no_pass_begins_under_two_maps(#[case] next: usize) {
    let (split, worlds) = search(Variant::Whole, next);

    assert!(split.is_none(), "{split:#?}");
    assert!(worlds > 10_000, "only {worlds} worlds");
}

#[rstest]
#[case(Variant::OldReports, VIA)]
#[case(Variant::OwnFirst, VIA)]
#[case(Variant::ViaEarly, EARLIER)]
#[case(Variant::NoHold, VIA)]
#[case(Variant::NoFence, VIA)]
fn the_search_finds_what_is_left_out(#[case] variant: Variant, #[case] next: usize) {
    let (split, worlds) = search(variant, next);

    assert!(split.is_some(), "{worlds} worlds");
}

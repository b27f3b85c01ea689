use ebonyusher::remap::{OrderStatus, RankState, SettleAction, next_settle_action};

use super::late_order::LateOrder;
use super::layout::{ENDS, HOLDER, MOST_COMMANDS, MOST_COMMANDS_OF_HOLDER, PASS, RANKS};
use super::order::Order;
use super::report::Report;
use super::variant::Variant;
use super::world::World;

impl World {
    /// The next leader reads the ranks one by one, decides, and gives its orders one by one.
    pub(super) fn next_leader(&self, variant: Variant, worlds: &mut Vec<Self>) {
        if let Some((rank, order)) = self.pending.first().copied() {
            return self.deliver(rank, order, variant, worlds);
        }
        if self.read.len() < RANKS {
            return self.read_one(variant, worlds);
        }
        worlds.extend(self.decide(variant));
    }

    fn read_one(&self, variant: Variant, worlds: &mut Vec<Self>) {
        let rank = self.read.len();
        let armed = self.ranks[rank].armed && !self.begun;
        let mut seen = vec![Some(Report { armed, held: self.ranks[rank].held })];
        if !self.known[rank].touched || variant == Variant::OldReports {
            seen.push(Some(Report::default()));
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

    fn decide(&self, variant: Variant) -> Option<Self> {
        let state = |(rank, report): (usize, &Option<Report>)| Some((*report)?.state(rank));
        let mut states: Vec<Option<RankState>> = self.read.iter().enumerate().map(state).collect();
        let switching = states.iter().flatten().any(|state| !state.is_quiet());
        if let Some(own) =
            states[self.next].as_mut().filter(|_| switching && variant == Variant::NoHold)
        {
            own.held = Some(PASS);
        }
        let marks: Vec<OrderStatus> = self.known.iter().map(|known| known.mark(variant)).collect();
        let mut orders = orders_of(next_settle_action(&states, &marks, self.next, &ENDS))?;
        let commands = self.commands + orders.len() as u8;
        let most = if self.next == HOLDER { MOST_COMMANDS_OF_HOLDER } else { MOST_COMMANDS };
        if commands > most {
            return None;
        }
        orders.sort_by_key(|(rank, _)| *rank);
        Some(Self { read: Vec::new(), pending: orders, commands, ..self.clone() })
    }

    /// An order of the next leader arrives and is answered, or not answered, or comes late.
    fn deliver(&self, rank: usize, order: Order, variant: Variant, worlds: &mut Vec<Self>) {
        let mut world = self.clone();
        world.pending.remove(0);
        world.fence += 1;
        let number = world.fence;
        world.known[rank].touched = true;
        if self.late.is_empty() {
            let mut late = world.clone();
            late.known[rank].unsure = true;
            late.late.push(LateOrder { rank, order, number });
            worlds.push(late);
        }
        let takes = world.takes(rank, number, variant);
        if takes && world.ranks[rank].carry_out(order, number, world.begun) {
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
}

/// The orders of a decision, nothing if no switch is under way.
fn orders_of(decision: SettleAction) -> Option<Vec<(usize, Order)>> {
    Some(match decision {
        SettleAction::Quiet => return None,
        SettleAction::Blocked => Vec::new(),
        SettleAction::Hold { rank, .. } => vec![(rank, Order::Hold)],
        SettleAction::Fence(ranks) => ranks.into_iter().map(|rank| (rank, Order::Fence)).collect(),
        SettleAction::Disarm(armed) => {
            armed.into_iter().map(|(rank, _)| (rank, Order::Disarm)).collect()
        }
        SettleAction::Release(held) => {
            held.into_iter().map(|(rank, _)| (rank, Order::Release)).collect()
        }
    })
}

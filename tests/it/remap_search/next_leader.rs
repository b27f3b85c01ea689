use ebonyusher::remap::{OrderStatus, RankState, SettleAction, next_settle_action};

use super::late_order::LateOrder;
use super::layout::{HOLDER, LAST_ARMED, MAX_ORDERS, MAX_ORDERS_FROM_HOLDER, PASS, RANKS};
use super::order::Order;
use super::report::Report;
use super::state::State;
use super::variant::Variant;

impl State {
    /// Adds the states after the next step of the next leader, which reads the ranks one by one,
    /// decides, and gives its orders one by one.
    pub(super) fn step_next_leader(&self, variant: Variant, states: &mut Vec<Self>) {
        if let Some((rank, order)) = self.pending.first().copied() {
            return self.deliver(rank, order, variant, states);
        }
        if self.reports.len() < RANKS {
            return self.read_report(variant, states);
        }
        states.extend(self.decide(variant));
    }

    /// Adds a state for each report that the next leader may read from a rank: the current one, an
    /// old one from before the switch, or none. After an order to the rank the leader ignores
    /// reports from before it, so an old one is read only before the first order.
    fn read_report(&self, variant: Variant, states: &mut Vec<Self>) {
        let rank = self.reports.len();
        // Once the pass has begun, the armed map is in force and no longer reported as armed.
        let armed = self.ranks[rank].armed && !self.pass_begun;
        let mut seen = vec![Some(Report { armed, held: self.ranks[rank].held })];
        if !self.knowledge[rank].ordered || variant == Variant::StaleReports {
            seen.push(Some(Report::default()));
        }
        if LAST_ARMED.contains(&rank) && rank != self.local {
            seen.push(None);
        }
        for report in seen {
            let mut state = self.clone();
            state.reports.push(report);
            states.push(state);
        }
    }

    /// Returns the state after the next leader's decision, or `None` if no switch is under way or
    /// the limit of orders would be exceeded.
    fn decide(&self, variant: Variant) -> Option<Self> {
        let rank_state =
            |(rank, report): (usize, &Option<Report>)| Some((*report)?.rank_state(rank));
        let mut rank_states: Vec<Option<RankState>> =
            self.reports.iter().enumerate().map(rank_state).collect();
        let switching = rank_states.iter().flatten().any(|state| !state.is_quiet());
        // In `NoHold` the decision takes the local rank to hold the group though it does not.
        if let Some(local) =
            rank_states[self.local].as_mut().filter(|_| switching && variant == Variant::NoHold)
        {
            local.held = Some(PASS);
        }
        let order_statuses: Vec<OrderStatus> =
            self.knowledge.iter().map(|knowledge| knowledge.order_status(variant)).collect();
        let mut orders =
            orders_of(next_settle_action(&rank_states, &order_statuses, self.local, &LAST_ARMED))?;
        let order_count = self.order_count + orders.len() as u8;
        let max_orders = if self.local == HOLDER { MAX_ORDERS_FROM_HOLDER } else { MAX_ORDERS };
        if order_count > max_orders {
            return None;
        }
        orders.sort_by_key(|(rank, _)| *rank);
        Some(Self { reports: Vec::new(), pending: orders, order_count, ..self.clone() })
    }

    /// Delivers an order of the next leader now, or leaves it unanswered for a later delivery. At
    /// most one order is late at a time.
    fn deliver(&self, rank: usize, order: Order, variant: Variant, states: &mut Vec<Self>) {
        let mut state = self.clone();
        state.pending.remove(0);
        state.fence += 1;
        let fence = state.fence;
        state.knowledge[rank].ordered = true;
        if self.late_orders.is_empty() {
            let mut late = state.clone();
            late.knowledge[rank].in_doubt = true;
            late.late_orders.push(LateOrder { rank, order, fence });
            states.push(late);
        }
        let accepts = state.accepts(rank, fence, variant);
        if accepts && state.ranks[rank].apply(order, fence, state.pass_begun) {
            state.knowledge[rank].fenced = true;
            state.knowledge[rank].in_doubt = false;
            match order {
                Order::Hold => state.knowledge[rank].holds = true,
                Order::Release => state.knowledge[rank].holds = false,
                Order::Fence | Order::Disarm => {}
            }
        }
        states.push(state);
    }
}

/// Returns the orders of a decision, or `None` if no switch is under way.
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

use super::earlier_orders::EarlierOrders;
use super::layout::{HOLDER, RANKS};
use super::state::State;
use super::variant::Variant;

impl State {
    /// Adds the states in which the earlier leader has sent one more order.
    pub(super) fn step_earlier_leader(&self, variant: Variant, states: &mut Vec<Self>) {
        let earlier_orders = self.earlier_orders;
        let mut send = |change: &dyn Fn(&mut EarlierOrders)| {
            let mut state = self.clone();
            change(&mut state.earlier_orders);
            if state != *self {
                states.push(state);
            }
        };
        send(&|orders| orders.hold = true);
        for rank in (0..RANKS).filter(|rank| earlier_orders.may_arm(*rank, variant)) {
            send(&|orders| orders.arm[rank] = true);
        }
        if earlier_orders.arm_confirmed.iter().all(|armed| *armed) {
            send(&|orders| orders.release = true);
        }
    }

    /// Adds the states in which an order of the earlier leader, or a late one of the next leader,
    /// reaches its rank.
    pub(super) fn deliver_delayed_orders(&self, variant: Variant, states: &mut Vec<Self>) {
        // All orders of the earlier leader have fencing token 0.
        let accepts = |rank: usize| self.accepts(rank, 0, variant);
        if self.earlier_orders.hold
            && accepts(HOLDER)
            && !self.pass_begun
            && !self.ranks[HOLDER].held
        {
            let mut state = self.clone();
            state.ranks[HOLDER].held = true;
            states.push(state.clone());
            state.earlier_orders.hold_confirmed = true;
            states.push(state);
        }
        for rank in (0..RANKS)
            .filter(|rank| self.earlier_orders.arm[*rank] && accepts(*rank) && !self.pass_begun)
        {
            let mut state = self.clone();
            state.ranks[rank].armed = true;
            states.push(state.clone());
            state.earlier_orders.arm_confirmed[rank] = true;
            states.push(state);
        }
        if self.earlier_orders.release && accepts(HOLDER) && self.ranks[HOLDER].held {
            let mut state = self.clone();
            state.ranks[HOLDER].held = false;
            states.push(state);
        }
        for at in 0..self.late_orders.len() {
            let mut state = self.clone();
            let late = state.late_orders.remove(at);
            if self.accepts(late.rank, late.fence, variant) {
                state.ranks[late.rank].apply(late.order, late.fence, self.pass_begun);
            }
            states.push(state);
        }
    }
}

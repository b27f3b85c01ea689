use super::earlier_orders::EarlierOrders;
use super::late_order::LateOrder;
use super::layout::{NEXT_FENCE, RANKS};
use super::order::Order;
use super::order_knowledge::OrderKnowledge;
use super::rank::Rank;
use super::report::Report;
use super::variant::Variant;

/// A group and two leaders: what each leader knows, and its orders that are not yet carried out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct State {
    /// Rank beside the next leader.
    pub(super) local: usize,
    pub(super) ranks: [Rank; RANKS],
    /// Orders of the earlier leader.
    pub(super) earlier_orders: EarlierOrders,
    /// Whether the pass of the switch has begun.
    pub(super) pass_begun: bool,
    /// What the next leader knows of its orders, by rank.
    pub(super) knowledge: [OrderKnowledge; RANKS],
    /// Reports that the next leader has read for its next decision, by rank; `None` for an
    /// unreachable rank.
    pub(super) reports: Vec<Option<Report>>,
    /// Its orders that are still to be delivered, with their ranks.
    pub(super) pending: Vec<(usize, Order)>,
    /// Its orders that got no answer and may be carried out later.
    pub(super) late_orders: Vec<LateOrder>,
    /// Fencing token of its last order.
    pub(super) fence: u8,
    /// Number of orders that it has given.
    pub(super) order_count: u8,
}

impl State {
    /// Returns the initial state, in which no order has been given.
    pub(super) fn new(local: usize) -> Self {
        Self {
            local,
            ranks: [Rank::default(); RANKS],
            earlier_orders: EarlierOrders::default(),
            pass_begun: false,
            knowledge: [OrderKnowledge::default(); RANKS],
            reports: Vec::new(),
            pending: Vec::new(),
            late_orders: Vec::new(),
            fence: NEXT_FENCE,
            order_count: 0,
        }
    }

    /// Returns all states that one event leads to.
    pub(super) fn successors(&self, variant: Variant) -> Vec<Self> {
        let mut states = Vec::new();
        self.begin_pass(&mut states);
        self.step_earlier_leader(variant, &mut states);
        self.deliver_delayed_orders(variant, &mut states);
        self.step_next_leader(variant, &mut states);
        states
    }

    /// Returns whether the pass has begun under two maps.
    pub(super) fn is_split(&self) -> bool {
        self.pass_begun && self.ranks.iter().any(|rank| rank.armed != self.ranks[0].armed)
    }

    /// Returns whether a rank accepts an order with this fencing token.
    pub(super) fn accepts(&self, rank: usize, fence: u8, variant: Variant) -> bool {
        variant == Variant::NoFence || self.ranks[rank].accepts(fence)
    }

    /// Adds the state in which the pass of the switch has begun, unless a rank holds the group.
    fn begin_pass(&self, states: &mut Vec<Self>) {
        if !self.pass_begun && self.ranks.iter().all(|rank| !rank.held) {
            states.push(Self { pass_begun: true, ..self.clone() });
        }
    }
}

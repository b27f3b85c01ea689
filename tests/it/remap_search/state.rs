use super::earlier_orders::EarlierOrders;
use super::late_order::LateOrder;
use super::layout::{NEXT_FENCE, RANKS};
use super::order::Order;
use super::order_knowledge::OrderKnowledge;
use super::rank::Rank;
use super::report::Report;
use super::variant::Variant;

/// A group, and what two leaders know and have under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct State {
    /// Rank beside the local leader.
    pub(super) local: usize,
    pub(super) ranks: [Rank; RANKS],
    /// What the earlier leader has ordered.
    pub(super) earlier_orders: EarlierOrders,
    /// Whether the pass of the switch has begun.
    pub(super) pass_begun: bool,
    pub(super) knowledge: [OrderKnowledge; RANKS],
    /// What the local leader has read so far in this round; nothing of a rank out of reach.
    pub(super) reports: Vec<Option<Report>>,
    /// Its orders that are on the way, with their ranks.
    pub(super) pending: Vec<(usize, Order)>,
    /// Its orders that are unanswered.
    pub(super) late_orders: Vec<LateOrder>,
    /// Number of its last order.
    pub(super) fence: u8,
    /// Orders that it has given.
    pub(super) order_count: u8,
}

impl State {
    /// Nothing has happened yet.
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

    /// All worlds that one event leads to.
    pub(super) fn successors(&self, variant: Variant) -> Vec<Self> {
        let mut states = Vec::new();
        self.begin_pass(&mut states);
        self.earlier_leader(variant, &mut states);
        self.deliver_delayed_orders(variant, &mut states);
        self.next_leader(variant, &mut states);
        states
    }

    /// Whether the pass has begun under two maps.
    pub(super) fn is_split(&self) -> bool {
        self.pass_begun && self.ranks.iter().any(|rank| rank.armed != self.ranks[0].armed)
    }

    /// Whether a rank takes an order with this number.
    pub(super) fn accepts(&self, rank: usize, fence: u8, variant: Variant) -> bool {
        variant == Variant::NoFence || self.ranks[rank].accepts(fence)
    }

    fn begin_pass(&self, states: &mut Vec<Self>) {
        if !self.pass_begun && self.ranks.iter().all(|rank| !rank.held) {
            states.push(Self { pass_begun: true, ..self.clone() });
        }
    }
}

use super::known::Known;
use super::late_order::LateOrder;
use super::layout::{NEXT_FENCE, RANKS};
use super::order::Order;
use super::rank::Rank;
use super::report::Report;
use super::sent::Sent;
use super::variant::Variant;

/// A group, and what two leaders know and have under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct World {
    /// Rank beside the next leader.
    pub(super) next: usize,
    pub(super) ranks: [Rank; RANKS],
    /// What the earlier leader has ordered.
    pub(super) sent: Sent,
    /// Whether the pass of the switch has begun.
    pub(super) begun: bool,
    pub(super) known: [Known; RANKS],
    /// What the next leader has read so far in this round; nothing of a rank out of reach.
    pub(super) read: Vec<Option<Report>>,
    /// Its orders that are on the way, with their ranks.
    pub(super) pending: Vec<(usize, Order)>,
    /// Its orders that are unanswered.
    pub(super) late: Vec<LateOrder>,
    /// Number of its last order.
    pub(super) fence: u8,
    /// Orders that it has given.
    pub(super) commands: u8,
}

impl World {
    /// Nothing has happened yet.
    pub(super) fn new(next: usize) -> Self {
        Self {
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

    /// All worlds that one event leads to.
    pub(super) fn successors(&self, variant: Variant) -> Vec<Self> {
        let mut worlds = Vec::new();
        self.begin_pass(&mut worlds);
        self.earlier_leader(variant, &mut worlds);
        self.late_orders(variant, &mut worlds);
        self.next_leader(variant, &mut worlds);
        worlds
    }

    /// Whether the pass has begun under two maps.
    pub(super) fn is_split(&self) -> bool {
        self.begun && self.ranks.iter().any(|rank| rank.armed != self.ranks[0].armed)
    }

    /// Whether a rank takes an order with this number.
    pub(super) fn takes(&self, rank: usize, number: u8, variant: Variant) -> bool {
        variant == Variant::NoFence || self.ranks[rank].takes(number)
    }

    fn begin_pass(&self, worlds: &mut Vec<Self>) {
        if !self.begun && self.ranks.iter().all(|rank| !rank.held) {
            worlds.push(Self { begun: true, ..self.clone() });
        }
    }
}

use super::leader::LEADERS;
use super::world::{CallKind, World};

/// What may happen next in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Event {
    /// The leader's first call is carried out and answered.
    Answer(usize),
    /// The leader's first order is carried out, and its answer is lost.
    LoseAnswer(usize),
    /// The leader's first order gets no answer and is carried out later.
    PutOff(usize),
    /// An order that was put off is carried out.
    CarryOutLate(usize),
    /// Passes begin.
    BeginPasses,
}

impl Event {
    /// Returns what may happen next, the plain course first: the leader that had the last call goes
    /// on as long as it has one.
    pub(super) fn possible(world: &World, last_leader: usize) -> Vec<Self> {
        let order = [last_leader, (last_leader + 1) % LEADERS];
        let first_is_order = |leader: usize| {
            let calls = world.calls();
            let first = calls.iter().find(|call| call.leader == leader)?;
            Some(matches!(first.kind, CallKind::Order(..)))
        };
        let mut events = Vec::new();
        for (leader, is_order) in order.into_iter().filter_map(|l| Some((l, first_is_order(l)?))) {
            events.push(Self::Answer(leader));
            if is_order {
                events.extend([Self::LoseAnswer(leader), Self::PutOff(leader)]);
            }
        }
        events.extend((0..world.late_orders()).map(Self::CarryOutLate));
        if world.group.next_marked_pass().is_some() {
            events.push(Self::BeginPasses);
        }
        events
    }

    /// Makes this happen. Returns the leader whose call it was about, if any.
    pub(super) fn apply(self, world: &World) -> Option<usize> {
        match self {
            Self::Answer(leader) => world.carry_out(world.take_call(leader)?, true),
            Self::LoseAnswer(leader) => world.carry_out(world.take_call(leader)?, false),
            Self::PutOff(leader) => world.put_off(world.take_call(leader)?),
            Self::CarryOutLate(at) => world.carry_out_late(at),
            Self::BeginPasses => world.begin_passes(),
        }
        match self {
            Self::Answer(leader) | Self::LoseAnswer(leader) | Self::PutOff(leader) => Some(leader),
            Self::CarryOutLate(_) | Self::BeginPasses => None,
        }
    }
}

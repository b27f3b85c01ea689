use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ebonyusher::remap::{RankCommand, RankError, RankState};
use ebonyusher_standin::RankGroupStandin;
use tokio::sync::oneshot;

const COPY_TIME: Duration = Duration::from_millis(35);

/// A call of a leader to a rank that is on its way.
pub(super) struct Call {
    pub(super) leader: usize,
    pub(super) rank: usize,
    pub(super) kind: CallKind,
}

/// What is called, and where the answer goes.
pub(super) enum CallKind {
    Read(oneshot::Sender<RankState>),
    Order(RankCommand, oneshot::Sender<Result<(), RankError>>),
}

/// An order that got no answer and is still to be carried out.
struct LateOrder {
    rank: usize,
    command: RankCommand,
}

/// The ranks of a group, and the calls that are on their way to them.
pub(super) struct World {
    pub(super) group: RankGroupStandin,
    calls: Mutex<Vec<Call>>,
    late: Mutex<Vec<LateOrder>>,
}

impl World {
    pub(super) fn new(ranks: usize) -> Arc<Self> {
        let group = RankGroupStandin::new(ranks).with_copy_time(COPY_TIME);
        Arc::new(Self { group, calls: Mutex::default(), late: Mutex::default() })
    }

    pub(super) fn calls(&self) -> MutexGuard<'_, Vec<Call>> {
        self.calls.lock().unwrap()
    }

    /// Takes the first call of a leader.
    pub(super) fn take_call(&self, leader: usize) -> Option<Call> {
        let mut calls = self.calls();
        let at = calls.iter().position(|call| call.leader == leader)?;
        Some(calls.remove(at))
    }

    /// Carries out a call and answers it, unless the answer is to be lost.
    pub(super) fn carry_out(&self, call: Call, is_answered: bool) {
        match call.kind {
            CallKind::Read(answer) => {
                answer.send(self.group.state(call.rank, Duration::ZERO)).ok();
            }
            CallKind::Order(command, answer) => {
                let ended = self.group.apply(call.rank, &command);
                answer.send(if is_answered { ended } else { Err(RankError::Unknown) }).ok();
            }
        }
    }

    /// Leaves an order without an answer, to be carried out later.
    pub(super) fn put_off(&self, call: Call) {
        if let CallKind::Order(command, answer) = call.kind {
            self.late.lock().unwrap().push(LateOrder { rank: call.rank, command });
            answer.send(Err(RankError::Unknown)).ok();
        }
    }

    pub(super) fn late_orders(&self) -> usize {
        self.late.lock().unwrap().len()
    }

    pub(super) fn carry_out_late(&self, at: usize) {
        let LateOrder { rank, command } = self.late.lock().unwrap().remove(at);
        self.group.apply(rank, &command).ok();
    }

    /// Begins passes up to the next one that matters to a switch, if no rank holds the group.
    pub(super) fn begin_passes(&self) {
        let Some(until) = self.group.next_marked_pass() else { return };
        while self.group.pass() < until && self.group.begin_pass() {}
    }
}

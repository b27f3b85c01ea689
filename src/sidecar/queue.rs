use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use super::queue_state::{Place, QueueState, Waiter};
use super::{Permit, QueueError, Ticket};
use crate::peer::Load;
use crate::settings::Priority;

/// Slots of one upstream, shared out by weighted fair queueing among client accounts within each
/// class.
#[derive(Debug)]
pub struct Queue {
    state: Mutex<QueueState>,
}

/// Gives a place, or a slot that was granted but not yet taken, back if the request goes away.
struct Waiting<'a> {
    queue: &'a Queue,
    account: String,
    priority: Priority,
    place: Place,
    grant: oneshot::Receiver<Result<(), QueueError>>,
    done: bool,
}

impl Queue {
    /// Makes a queue before so many slots.
    ///
    /// ```
    /// # use ebonyusher::sidecar::Queue;
    /// assert_eq!(Queue::new(4).load().slots, 4);
    /// ```
    pub fn new(slots: u32) -> Arc<Self> {
        Arc::new(Self { state: Mutex::new(QueueState::new(slots)) })
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the number of slots.
    pub fn set_slots(&self, slots: u32) {
        let mut state = self.lock();
        state.slots = slots;
        state.grant(Instant::now());
    }

    /// Refuses all waiting requests and all later ones.
    pub fn close(&self) {
        self.lock().close();
    }

    /// Takes requests again after [`Queue::close`].
    pub fn reopen(&self) {
        self.lock().closed = false;
    }

    /// How busy the upstream is.
    pub fn load(&self) -> Load {
        let mut state = self.lock();
        state.report += 1;
        Load {
            slots: state.slots,
            running: state.running,
            waiting: u32::try_from(state.waiting()).unwrap_or(u32::MAX),
            wait_ms: state.wait_millis(Priority::Normal, None) as u32,
            seq: state.report,
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    /// [`QueueError`] at once if the wait is estimated to be too long or the answer too late, and
    /// later if the estimate proves wrong. A refused request has not run.
    pub async fn admit(self: &Arc<Self>, ticket: &Ticket<'_>) -> Result<Permit, QueueError> {
        let Some(mut waiting) = self.enter(ticket)? else {
            return Ok(Permit::new(Arc::clone(self), ticket));
        };
        let patience = ticket.wait.min(ticket.deadline.saturating_duration_since(Instant::now()));
        let granted = timeout(patience, &mut waiting.grant).await;
        match granted {
            Ok(Ok(Ok(()))) => {
                waiting.done = true;
                Ok(Permit::new(Arc::clone(self), ticket))
            }
            Ok(Ok(Err(err))) => {
                waiting.done = true;
                Err(err)
            }
            Ok(Err(_)) => Err(QueueError::Closed),
            Err(_) if patience < ticket.wait => Err(QueueError::Deadline),
            Err(_) => Err(QueueError::Overload),
        }
    }

    /// Takes a free slot, giving nothing, or a place in the queue.
    fn enter(&self, ticket: &Ticket<'_>) -> Result<Option<Waiting<'_>>, QueueError> {
        let now = Instant::now();
        let mut state = self.lock();
        if state.closed {
            return Err(QueueError::Closed);
        }
        let left = ticket.deadline.saturating_duration_since(now);
        if left.is_zero() || state.run_millis(ticket.cost) > millis(left) {
            return Err(QueueError::Deadline);
        }
        state.shares.seen(ticket.account, ticket.weight, now);
        let place = state.take_place(ticket);
        if state.may_start(ticket.account) && state.waiting() == 0 {
            state.start(place, ticket.account);
            return Ok(None);
        }
        let wait = state.wait_millis(ticket.priority, Some(place));
        if let Err(err) = bearable(wait, state.run_millis(ticket.cost), ticket.wait, left) {
            state.settle(ticket.account, -ticket.cost / ticket.weight);
            return Err(err);
        }
        let (sender, grant) = oneshot::channel();
        let account = ticket.account.to_owned();
        let (cost, deadline) = (ticket.cost, ticket.deadline);
        let waiter = Waiter { grant: sender, account: account.clone(), cost, deadline };
        state.push(ticket.priority, place, waiter);
        state.grant(now);
        drop(state);
        let priority = ticket.priority;
        Ok(Some(Waiting { queue: self, account, priority, place, grant, done: false }))
    }

    pub(super) fn release(&self, account: &str, unused: f64, ran: Option<(f64, Duration)>) {
        let mut state = self.lock();
        state.end(account);
        state.settle(account, unused);
        if let Some((cost, time)) = ran {
            state.learn(cost, millis(time));
        }
        state.grant(Instant::now());
    }
}

fn bearable(wait: f64, run: f64, limit: Duration, left: Duration) -> Result<(), QueueError> {
    if wait > millis(limit) {
        return Err(QueueError::Overload);
    }
    if wait + run > millis(left) { Err(QueueError::Deadline) } else { Ok(()) }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let mut state = self.queue.lock();
        let waited = state.remove(self.priority, self.place);
        let granted = !waited && matches!(self.grant.try_recv(), Ok(Ok(())));
        if granted {
            state.end(&self.account);
            state.grant(Instant::now());
        }
    }
}

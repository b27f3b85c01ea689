use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use super::queue_state::{QueueState, StartTag, Waiter};
use super::{Permit, QueueError, SlotRequest};
use crate::peer::Load;
use crate::settings::Priority;

/// The slots of one upstream, shared among client accounts by weighted fair queueing within each
/// priority class.
#[derive(Debug)]
pub struct Queue {
    state: Mutex<QueueState>,
}

/// A waiting request. Dropping it removes the request from the queue, or frees a slot that was
/// granted but not yet taken.
struct WaitGuard<'a> {
    queue: &'a Queue,
    account: String,
    priority: Priority,
    start_tag: StartTag,
    grant: oneshot::Receiver<Result<(), QueueError>>,
    /// Whether the result of the grant has been received.
    resolved: bool,
}

impl Queue {
    /// Makes a queue in front of the given number of slots.
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

    /// Refuses all waiting and later requests until [`Queue::reopen`].
    pub fn close(&self) {
        self.lock().close();
    }

    /// Admits requests again after [`Queue::close`].
    pub fn reopen(&self) {
        self.lock().closed = false;
    }

    /// Returns the upstream's current load.
    pub fn load(&self) -> Load {
        let mut state = self.lock();
        state.load_seq += 1;
        Load {
            slots: state.slots,
            running: state.running,
            waiting: u32::try_from(state.waiting()).unwrap_or(u32::MAX),
            wait_ms: state.wait_millis(Priority::Normal, None) as u32,
            seq: state.load_seq,
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    /// Returns a [`QueueError`] at once if the queue is closed, the estimated wait is too long or
    /// the response would be too late, and later if the queue closes or the estimate proves wrong.
    /// A refused request has not run.
    pub async fn admit(self: &Arc<Self>, request: &SlotRequest<'_>) -> Result<Permit, QueueError> {
        let Some(mut waiting) = self.enter(request)? else {
            return Ok(Permit::new(Arc::clone(self), request));
        };
        let time_limit =
            request.max_wait.min(request.deadline.saturating_duration_since(Instant::now()));
        let granted = timeout(time_limit, &mut waiting.grant).await;
        match granted {
            Ok(Ok(Ok(()))) => {
                waiting.resolved = true;
                Ok(Permit::new(Arc::clone(self), request))
            }
            Ok(Ok(Err(err))) => {
                waiting.resolved = true;
                Err(err)
            }
            Ok(Err(_)) => Err(QueueError::Closed),
            Err(_) if time_limit < request.max_wait => Err(QueueError::Deadline),
            Err(_) => Err(QueueError::Overload),
        }
    }

    /// Takes a free slot and returns `None`, or enters the queue.
    fn enter(&self, request: &SlotRequest<'_>) -> Result<Option<WaitGuard<'_>>, QueueError> {
        let now = Instant::now();
        let mut state = self.lock();
        if state.closed {
            return Err(QueueError::Closed);
        }
        let time_left = request.deadline.saturating_duration_since(now);
        if time_left.is_zero() || state.run_millis(request.cost) > millis(time_left) {
            return Err(QueueError::Deadline);
        }
        state.shares.record_request(request.account, request.weight, now);
        let start_tag = state.assign_start_tag(request);
        if state.can_start(request.account) && state.waiting() == 0 {
            state.take_slot(start_tag, request.account);
            return Ok(None);
        }
        let wait = state.wait_millis(request.priority, Some(start_tag));
        if let Err(err) =
            check_wait(wait, state.run_millis(request.cost), request.max_wait, time_left)
        {
            state.charge(request.account, -request.cost / request.weight);
            return Err(err);
        }
        let (sender, grant) = oneshot::channel();
        let account = request.account.to_owned();
        let (cost, deadline) = (request.cost, request.deadline);
        let waiter = Waiter { grant: sender, account: account.clone(), cost, deadline };
        state.push(request.priority, start_tag, waiter);
        state.grant(now);
        drop(state);
        let priority = request.priority;
        Ok(Some(WaitGuard { queue: self, account, priority, start_tag, grant, resolved: false }))
    }

    /// Frees a slot and advances the account's finish tag by `extra_cost`, which is already divided
    /// by the account's weight and may be negative. `ran` holds the estimated cost and the run time
    /// of a request that completed.
    pub(super) fn release(&self, account: &str, extra_cost: f64, ran: Option<(f64, Duration)>) {
        let mut state = self.lock();
        state.free_slot(account);
        state.charge(account, extra_cost);
        if let Some((cost, time)) = ran {
            state.record_run(cost, millis(time));
        }
        state.grant(Instant::now());
    }
}

/// Checks an estimated wait and run time, both in milliseconds, against the limits of a request.
fn check_wait(wait: f64, run: f64, limit: Duration, time_left: Duration) -> Result<(), QueueError> {
    if wait > millis(limit) {
        return Err(QueueError::Overload);
    }
    if wait + run > millis(time_left) { Err(QueueError::Deadline) } else { Ok(()) }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.resolved {
            return;
        }
        let mut state = self.queue.lock();
        let waited = state.remove(self.priority, self.start_tag);
        let granted = !waited && matches!(self.grant.try_recv(), Ok(Ok(())));
        if granted {
            state.free_slot(&self.account);
            state.grant(Instant::now());
        }
    }
}

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::outcome::{Reason, Refusal};
use crate::settings::Account;

/// Requests that an account may send at once after a pause, in seconds of its rate.
const BURST_SECONDS: f64 = 1.0;

/// Limits of client accounts at this entry. Each entry grants its part of an account's rate.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    accounts: Arc<Mutex<HashMap<String, AccountState>>>,
}

#[derive(Debug)]
struct AccountState {
    tokens: f64,
    refilled_at: Instant,
    in_flight: u32,
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub struct LimiterGuard {
    limiter: Limiter,
    account: String,
}

impl Limiter {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, AccountState>> {
        self.accounts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets a request of an account (`team/account`) through; `entries` share the account's rate.
    ///
    /// # Errors
    /// A refusal that tells when to come back.
    pub fn admit(
        &self,
        name: &str,
        account: &Account,
        entries: usize,
    ) -> Result<LimiterGuard, Refusal> {
        let now = Instant::now();
        let rate = account.rate.map(|rate| rate / entries.max(1) as f64);
        let burst = rate.map_or(0.0, |rate| (rate * BURST_SECONDS).max(1.0));
        let mut accounts = self.lock();
        if !accounts.contains_key(name) {
            accounts.insert(
                name.to_owned(),
                AccountState { tokens: burst, refilled_at: now, in_flight: 0 },
            );
        }
        let state = accounts.get_mut(name).ok_or(Refusal::not_run(Reason::AccountRate))?;
        if account.in_flight.is_some_and(|max| state.in_flight >= max) {
            let refusal = Refusal::not_run(Reason::AccountInFlight);
            return Err(refusal.retry_after(Duration::from_secs(1)));
        }
        if let Some(rate) = rate {
            state.take_token(rate, burst, now)?;
        }
        state.in_flight += 1;
        Ok(LimiterGuard { limiter: self.clone(), account: name.to_owned() })
    }
}

impl AccountState {
    fn take_token(&mut self, rate: f64, burst: f64, now: Instant) -> Result<(), Refusal> {
        let refill = now.saturating_duration_since(self.refilled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + refill).min(burst);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            let wait = Duration::from_secs_f64((1.0 - self.tokens) / rate);
            return Err(Refusal::not_run(Reason::AccountRate).retry_after(wait));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}

impl Drop for LimiterGuard {
    fn drop(&mut self) {
        if let Some(state) = self.limiter.lock().get_mut(&self.account) {
            state.in_flight -= 1;
        }
    }
}

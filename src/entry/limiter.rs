use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::outcome::{Reason, Refusal};
use crate::settings::Account;

/// Burst that an account may send after a pause, in seconds: its token bucket holds as many tokens
/// as its rate refills in this time, at least one.
const BURST_SECONDS: f64 = 1.0;

/// Limits the rate and the requests in flight of each client account at this entry. An account's
/// rate is divided equally among the entries.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    accounts: Arc<Mutex<HashMap<String, AccountState>>>,
}

/// Token bucket and requests in flight of one account.
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

    /// Admits a request of an account (`team/account`), whose rate is divided among `entries`.
    ///
    /// # Errors
    /// A refusal that says when to retry.
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
    /// Refills the bucket for the time passed, then takes a token.
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

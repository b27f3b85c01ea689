use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::peer::CrashNote;

/// Crashes at which a request is held back.
const CRASHES_TO_HOLD: usize = 2;
/// Time in which a failure domain takes its sidecars away.
const LOSS_WINDOW: Duration = Duration::from_secs(2);
/// How long a crash counts.
const MEMORY: Duration = Duration::from_secs(600);
/// Fingerprints remembered before old ones are dropped.
const MAX_PRINTS: usize = 16_384;

/// What the crashes say of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It was in flight at no crash.
    Clear,
    /// It was in flight at one crash: it runs with no other suspect beside it.
    Suspect,
    /// It was in flight at two crashes: it is held back until the time given.
    Held(Instant),
}

/// Requests that were in flight at crashes.
///
/// An innocent request that ran beside a crashing one is suspect once. Suspects run one at a time
/// at an upstream, so the crashing request can meet it again only if both are not yet suspect.
#[derive(Debug, Default)]
pub struct Suspects {
    prints: Mutex<HashMap<u64, SmallVec<[Sighting; 2]>>>,
    losses: Mutex<SmallVec<[Instant; 8]>>,
}

#[derive(Clone, Copy, Debug)]
struct Sighting {
    event: u64,
    at: Instant,
}

impl Suspects {
    fn lock(&self) -> MutexGuard<'_, HashMap<u64, SmallVec<[Sighting; 2]>>> {
        self.prints.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in a crash. The same crash counts once, whoever tells of it.
    ///
    /// ```
    /// # use ebonyusher::{entry::{Suspects, Verdict}, peer::CrashNote};
    /// let suspects = Suspects::default();
    /// let note = CrashNote { event: 1, prints: [7].into_iter().collect() };
    /// suspects.note(&note);
    /// suspects.note(&note);
    /// assert_eq!(suspects.judge(7), Verdict::Suspect);
    /// ```
    pub fn note(&self, crash: &CrashNote) {
        let now = Instant::now();
        let mut prints = self.lock();
        if prints.len() > MAX_PRINTS {
            prints.retain(|_, seen| seen.iter().any(|sighting| sighting.is_fresh(now)));
        }
        for print in &crash.prints {
            let seen = prints.entry(*print).or_default();
            if seen.iter().all(|sighting| sighting.event != crash.event) {
                seen.push(Sighting { event: crash.event, at: now });
            }
        }
    }

    /// Takes in that a sidecar was lost.
    pub fn lost(&self) {
        let now = Instant::now();
        let mut losses = self.losses.lock().unwrap_or_else(PoisonError::into_inner);
        losses.retain(|at| now.saturating_duration_since(*at) < LOSS_WINDOW);
        losses.push(now);
    }

    /// Whether just one sidecar was lost of late. When several go at once it is their failure
    /// domain, and no request is to blame.
    pub fn is_single_loss(&self) -> bool {
        let now = Instant::now();
        let losses = self.losses.lock().unwrap_or_else(PoisonError::into_inner);
        losses.iter().filter(|at| now.saturating_duration_since(**at) < LOSS_WINDOW).count() == 1
    }

    /// Takes a request that ran to its end off the list.
    pub fn clear(&self, print: u64) {
        self.lock().remove(&print);
    }

    /// What is known of a request.
    pub fn judge(&self, print: u64) -> Verdict {
        let now = Instant::now();
        let prints = self.lock();
        let Some(seen) = prints.get(&print) else {
            return Verdict::Clear;
        };
        let fresh = seen.iter().filter(|sighting| sighting.is_fresh(now));
        match fresh.clone().count() {
            0 => Verdict::Clear,
            count if count < CRASHES_TO_HOLD => Verdict::Suspect,
            _ => Verdict::Held(fresh.map(|sighting| sighting.at + MEMORY).min().unwrap_or(now)),
        }
    }

    /// Number of requests held back.
    pub fn held(&self) -> usize {
        let prints: SmallVec<[u64; 32]> = self.lock().keys().copied().collect();
        prints.iter().filter(|print| matches!(self.judge(**print), Verdict::Held(_))).count()
    }
}

impl Sighting {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < MEMORY
    }
}

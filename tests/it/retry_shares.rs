//! The retries of all entries together, while entries end, start, and take over the load of others.

use std::collections::VecDeque;
use std::time::Duration;

use ebonyusher::direct::{KnownEntries, RetryBudget, RetryLimits};
use ebonyusher::units::BootTime;
use rstest::rstest;

const WINDOW: Duration = Duration::from_secs(10);
const SHARE: f64 = 0.2;
const SLACK: f64 = 120.0;
/// Requests of all entries per second.
const RATE: u32 = 290;
/// Time between the steps of a play.
const STEP: Duration = Duration::from_millis(100);
/// Seconds after which requests begin to fail, so that each entry retries as often as it may.
const STORM_START: u64 = 25;

/// An entry that serves its part of the requests while it runs.
struct Entry {
    budget: RetryBudget,
    known: KnownEntries,
}

impl Entry {
    fn start(name: usize) -> Self {
        let limits = RetryLimits { share: SHARE, window: WINDOW, slack: SLACK };
        let known = KnownEntries::new(&name.to_string(), 512.0, WINDOW);
        Self { budget: RetryBudget::new(limits), known }
    }

    /// Takes a request. Returns the number of retries.
    fn serve(&self, now: BootTime, is_storm: bool) -> usize {
        self.budget.earn(now);
        if !is_storm {
            return 0;
        }
        let spend = || self.budget.spend(now, self.known.part(now));
        (0..20).filter(|_| spend().is_granted).count()
    }
}

/// Plays entries of which `running` tells how many run at a second. Those that end forget what they
/// spent, and new ones start in their place. Returns by how much the retries of any window exceed
/// what is allowed.
fn largest_excess(entries: usize, running: impl Fn(u64) -> usize) -> f64 {
    let mut fleet: Vec<Option<Entry>> = (0..entries).map(|_| None).collect();
    let mut names = 0;
    let mut spent: VecDeque<(Duration, usize)> = VecDeque::new();
    let mut excess = f64::MIN;
    let mut due = 0.0;
    for step in 0..600 {
        let time = STEP * step;
        let count = running(time.as_secs());
        for (at, entry) in fleet.iter_mut().enumerate() {
            match entry {
                Some(_) if at >= count => *entry = None,
                None if at < count => *entry = Some(Entry::start(at)),
                _ => {}
            }
        }
        names = names.max(count);
        let now = BootTime::after_boot(WINDOW * 10 + time);
        for entry in fleet.iter().flatten() {
            (0..names).for_each(|name| entry.known.record(&name.to_string(), now));
        }
        due += f64::from(RATE) * STEP.as_secs_f64();
        let mut retries = 0;
        for at in 0..due as usize {
            let entry = fleet[(step as usize * 7 + at) % count].as_ref().expect("runs");
            let is_storm = time.as_secs() >= STORM_START;
            retries += entry.serve(now, is_storm);
        }
        due = due.fract();
        spent.push_back((time, retries));
        spent.retain(|(at, _)| *at + WINDOW > time);
        let window = time.min(WINDOW).as_secs_f64();
        let allowed = SHARE * f64::from(RATE) * window + SLACK;
        let sum: usize = spent.iter().map(|(_, retries)| retries).sum();
        excess = excess.max(sum as f64 - allowed);
    }
    excess
}

/// Guards against entries that spend what others, which have ended within the window, have spent
/// already.
#[rstest]
#[case::most_end(14, |second| if second < STORM_START + 2 { 14 } else { 3 })]
#[case::most_end_and_return(14, |second| if (STORM_START + 2..STORM_START + 6).contains(&second) { 3 } else { 14 })]
#[case::they_end_by_turns(14, |second| if second % 6 < 3 { 14 } else { 4 })]
#[case::few_become_many(53, |second| if second < STORM_START + 3 { 5 } else { 53 })]
#[case::nothing_changes(14, |_| 14)]
fn entries_that_come_and_go_stay_within_their_common_retry_budget(
    #[case] entries: usize,
    #[case] running: fn(u64) -> usize,
) {
    let excess = largest_excess(entries, running);

    assert!(excess <= 0.0, "{excess} retries too many");
}

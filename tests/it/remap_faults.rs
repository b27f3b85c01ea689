//! Leaders of a group one after the other over simulated time: orders lost, late and unanswered,
//! leaders that freeze in the middle of a switch and wake while the next one leads.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use ebonyusher::remap::{
    GroupMap, RankClient, RankSet, SwitchError, armed_last, first_fence, settle_switch, switch,
};
use ebonyusher_standin::{FaultyRankClient, OrderFaults, RankGroupStandin};
use proptest::prelude::*;
use tokio::time::{Instant, sleep, timeout};

const RANKS: usize = 4;
const PASS_TIME: Duration = Duration::from_millis(50);
const SWITCH_PAUSE: Duration = Duration::from_millis(120);
/// Time after its start at which a leader freezes, at the latest, and for how long.
const LEAD_TIME: Duration = Duration::from_secs(3);
const FREEZE_TIME: Duration = Duration::from_secs(4);
/// Time after a freeze until the next leader begins.
const NOTICE_TIME: Duration = Duration::from_millis(500);
const LEADERS: usize = 4;
/// Longest time in which a leader without faults must bring the group on.
const SETTLE_TIME: Duration = Duration::from_secs(30);

/// A future that stands still while the flag is set.
struct Freezing<F> {
    inner: Pin<Box<F>>,
    frozen: Arc<AtomicBool>,
}

impl<F: Future> Future for Freezing<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        if self.frozen.load(Ordering::Relaxed) {
            let waker = cx.waker().clone();
            tokio::spawn(async move {
                sleep(Duration::from_millis(5)).await;
                waker.wake();
            });
            return Poll::Pending;
        }
        self.inner.as_mut().poll(cx)
    }
}

/// The row of terms: the newest one, and the rank beside the last leader that may have begun a switch.
#[derive(Debug, Default)]
struct Terms {
    term: u64,
    switcher: Option<usize>,
}

impl Terms {
    /// Begins a term, and gives the ranks that the last switcher arms last.
    fn claim(&mut self, term: u64) -> Vec<usize> {
        self.term = term;
        self.switcher.map(|near| armed_last(near, RANKS).to_vec()).unwrap_or_default()
    }

    /// Notes a switcher, unless a newer term has begun.
    fn begin(&mut self, term: u64, near: usize) -> bool {
        if self.term == term {
            self.switcher = Some(near);
        }
        self.term == term
    }
}

async fn lead<P: RankClient>(ports: Vec<P>, near: usize, terms: Arc<Mutex<Terms>>, term: u64) {
    let ends = terms.lock().unwrap().claim(term);
    let mut crew = RankSet::new(ports, 1, first_fence(term));
    let map = GroupMap { sets: Vec::new() };
    let mut version = term * 1_000;
    if settle_switch(&mut crew, near, &ends).await.is_err() {
        return;
    }
    if !terms.lock().unwrap().begin(term, near) {
        return;
    }
    loop {
        sleep(SWITCH_PAUSE).await;
        version += 1;
        let ended = match switch(&mut crew, near, version, &map).await {
            Ok(_) => continue,
            Err(SwitchError::Failed(..)) => {
                settle_switch(&mut crew, near, &armed_last(near, RANKS)).await.map(|_| ())
            }
            Err(deposed) => Err(deposed),
        };
        if ended.is_err() {
            return;
        }
    }
}

/// Settles and switches until a switch succeeds, and tells whether one did.
async fn switch_once<P: RankClient>(crew: &mut RankSet<P>, ends: Vec<usize>) -> bool {
    let map = GroupMap { sets: Vec::new() };
    let mut ends = ends;
    for version in 1_000_000.. {
        if settle_switch(crew, 0, &ends).await.is_err() {
            return false;
        }
        match switch(crew, 0, version, &map).await {
            Ok(_) => return true,
            Err(SwitchError::Failed(..)) => ends = armed_last(0, RANKS).to_vec(),
            Err(SwitchError::Deposed) => return false,
        }
    }
    false
}

/// Has leaders follow one another; each freezes and wakes while the next leads.
async fn play(seed: u64, faults: OrderFaults, freeze_at: &[u64], afar: bool) -> RankGroupStandin {
    let group = RankGroupStandin::new(RANKS);
    group.run_passes(PASS_TIME);
    let reach: Vec<Arc<AtomicBool>> = (0..RANKS).map(|_| Arc::new(AtomicBool::new(true))).collect();
    let terms = Arc::new(Mutex::new(Terms::default()));
    for (at, freeze_ms) in freeze_at.iter().enumerate() {
        let near = at % RANKS;
        let port = |rank: usize| {
            let seed = seed.wrapping_mul(31) + (at * RANKS + rank) as u64;
            let port = FaultyRankClient::new(&group, rank, faults, Arc::clone(&reach[rank]), seed);
            if afar && rank != near { port.with_remote_lag() } else { port }
        };
        let frozen = Arc::new(AtomicBool::new(false));
        let ports = (0..RANKS).map(port).collect();
        let inner = Box::pin(lead(ports, near, Arc::clone(&terms), at as u64 + 1));
        tokio::spawn(Freezing { inner, frozen: Arc::clone(&frozen) });
        sleep(Duration::from_millis(*freeze_ms / 2)).await;
        // The machine from which the leader has the group held, or another one, freezes first.
        let other = Arc::clone(&reach[(near + 1 + (*freeze_ms % 3) as usize) % RANKS]);
        other.store(false, Ordering::Relaxed);
        sleep(Duration::from_millis(*freeze_ms / 2)).await;
        other.store(true, Ordering::Relaxed);
        frozen.store(true, Ordering::Relaxed);
        reach[near].store(false, Ordering::Relaxed);
        let own = Arc::clone(&reach[near]);
        tokio::spawn(async move {
            sleep(FREEZE_TIME).await;
            own.store(true, Ordering::Relaxed);
            frozen.store(false, Ordering::Relaxed);
        });
        sleep(NOTICE_TIME).await;
    }
    // The last leader settles and switches without faults, which ends the terms of the others, and
    // the group must go on.
    sleep(FREEZE_TIME + Duration::from_secs(13)).await;
    let ports = (0..RANKS).map(|rank| {
        FaultyRankClient::new(&group, rank, OrderFaults::default(), Arc::clone(&reach[rank]), seed)
    });
    let mut crew = RankSet::new(ports.collect(), 1, first_fence(100));
    let ends = terms.lock().unwrap().claim(100);
    let led = timeout(SETTLE_TIME, switch_once(&mut crew, ends)).await;
    assert!(matches!(led, Ok(true)), "{:?}", crew.states().await);
    group
}

fn run(seed: u64, faults: OrderFaults, freeze_at: &[u64], afar: bool) -> (Vec<u64>, bool) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("runtime");
    runtime.block_on(async {
        let group = play(seed, faults, freeze_at, afar).await;
        let before = group.pass();
        let began = Instant::now();
        sleep(PASS_TIME * 20).await;
        assert!(began.elapsed() >= PASS_TIME * 20);
        (group.split_passes(), group.pass() > before + 10)
    })
}

fn faults() -> impl Strategy<Value = OrderFaults> {
    let share = || prop_oneof![Just(0.0), Just(0.1), Just(0.35)];
    (share(), share(), share()).prop_map(|(lost, unanswered, late)| OrderFaults {
        lost: lost / 2.0,
        unanswered,
        late,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_group_never_splits_and_always_goes_on(
        seed in any::<u64>(),
        faults in faults(),
        freezes in prop::collection::vec(1_u64..LEAD_TIME.as_millis() as u64, LEADERS),
        afar in any::<bool>(),
    ) {
        let (split, goes_on) = run(seed, faults, &freezes, afar);

        prop_assert!(split.is_empty(), "passes {split:?}");
        prop_assert!(goes_on);
    }
}

#[test]
fn without_faults_a_group_switches_and_is_never_held_up() {
    let (split, goes_on) = run(1, OrderFaults::default(), &[2_500], false);

    assert!(split.is_empty() && goes_on);
}

//! What an entry learns of the speed and the capacity of upstreams, on a virtual clock.

use std::time::Duration;

use ebonyusher::capacity::{
    CapacityEstimator, CapacitySwitch, DecayingSum, PlainLoad, Rating, RequestSize, SlowStart,
    SpeedBaseline, SpeedEstimator, WorkEstimator, admit_plain, expected_loads,
};
use ebonyusher::direct::{Admission, Candidate, Engine, OtherEntriesLoad, choose, estimate_loads};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use tokio::time::Instant;

use crate::direct_parts::proptest_config;

const TARGET: Duration = Duration::from_millis(400);
const STEP: Duration = Duration::from_millis(1);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn engine() -> Engine {
    Engine {
        slots: 10,
        step: Duration::from_micros(5_850),
        per_request: Duration::from_micros(426),
        stride: 6,
        read_per_s: 61_200.0,
        experts: None,
    }
}

/// An upstream that serves one request after the other.
struct Server {
    time: Duration,
    fails: bool,
    /// Requests in flight: when they end, when they were sent and the load then.
    queue: Vec<(Instant, Instant, f64)>,
    speed: SpeedEstimator,
    failed: DecayingSum,
    slow_start: SlowStart,
    served: u32,
    longest: usize,
}

impl Server {
    fn new(time: Duration, now: Instant) -> Self {
        Self {
            time,
            fails: false,
            queue: Vec::new(),
            speed: SpeedEstimator::default(),
            failed: DecayingSum::default(),
            slow_start: SlowStart::new(now - ms(10_000)),
            served: 0,
            longest: 0,
        }
    }

    fn send(&mut self, now: Instant) {
        self.served += 1;
        if self.fails {
            return self.failed.add(1.0, now);
        }
        let starts = self.queue.last().map_or(now, |last| last.0.max(now));
        self.queue.push((starts + self.time, now, self.queue.len() as f64 + 1.0));
        self.longest = self.longest.max(self.queue.len());
    }

    fn complete(&mut self, now: Instant) {
        while let Some((end, sent, load)) = self.queue.first().copied().filter(|job| job.0 <= now) {
            self.queue.remove(0);
            self.speed.record((end - sent).as_secs_f64() / load, end);
        }
    }
}

/// Chooses as the dispatcher does.
fn pick(servers: &[Server], baseline: &SpeedBaseline, rng: &mut SmallRng, now: Instant) -> usize {
    let candidates: Vec<Candidate> = servers
        .iter()
        .map(|server| Candidate { own: server.queue.len() as u32, others: None, avoid_until: None })
        .collect();
    let baseline = baseline.get(servers.iter().filter_map(|s| s.speed.recent_peak(now)), now);
    let rate = |server: &Server| Rating {
        work: server.queue.len() as f64 + server.failed.get(now),
        slowness: server.speed.slowness(baseline, !server.queue.is_empty(), now),
        start_share: server.slow_start.share(now),
    };
    let ratings: Vec<Rating> = servers.iter().map(rate).collect();
    let loads = expected_loads(&candidates, &estimate_loads(&candidates), &ratings, 1.0);
    let ties: Vec<f64> = servers.iter().map(|_| rng.random_range(0.0..0.3)).collect();
    choose(&candidates, &loads, |_| true, |at| ties[at]).expect("a server")
}

/// Sends so many requests a second for some seconds.
fn run(servers: &mut [Server], per_second: f64, seconds: u64, start: Instant) {
    let (baseline, mut rng) = (SpeedBaseline::default(), SmallRng::seed_from_u64(9));
    for at in 0..seconds * 1_000 {
        let now = start + STEP * at as u32;
        servers.iter_mut().for_each(|server| server.complete(now));
        if rng.random_bool(per_second / 1e3) {
            let chosen = pick(servers, &baseline, &mut rng, now);
            servers[chosen].send(now);
        }
    }
}

/// Guards against a slow upstream that gets as many requests as a fast one, and queues them.
#[test]
fn upstreams_get_work_by_their_speeds() {
    let start = Instant::now();
    let times = [20, 20, 20, 80, 80, 80];
    let mut servers: Vec<Server> = times.map(|time| Server::new(ms(time), start)).into();

    // Nearly all that they can serve together: 187.5/s.
    run(&mut servers, 184.0, 60, start);

    let served = |servers: &[Server]| servers.iter().map(|server| server.served).sum::<u32>();
    let ratio = f64::from(served(&servers[..3])) / f64::from(served(&servers[3..]));
    assert!((3.4..4.6).contains(&ratio), "{ratio}");
    let longest = |servers: &[Server]| servers.iter().map(|server| server.longest).max().unwrap();
    let (fast, slow) = (longest(&servers[..3]), longest(&servers[3..]));
    assert!(slow * 4 <= fast + 4, "{slow} at a slow one, {fast} at a fast one");
}

/// Guards against a queue at a slow upstream while fast ones can take the requests.
#[test]
fn a_slow_upstream_has_no_queue() {
    let start = Instant::now();
    let times = [20, 20, 20, 80, 80, 80];
    let mut servers: Vec<Server> = times.map(|time| Server::new(ms(time), start)).into();
    run(&mut servers, 60.0, 10, start);
    servers.iter_mut().for_each(|server| server.longest = 0);

    run(&mut servers, 120.0, 60, start + ms(10_000));

    let longest: Vec<usize> = servers[3..].iter().map(|server| server.longest).collect();
    assert!(longest.iter().all(|longest| *longest <= 1), "{longest:?}");
}

/// Guards against an upstream that attracts requests by failing them fast.
#[test]
fn an_upstream_that_fails_fast_gets_few_requests() {
    let start = Instant::now();
    let mut servers: Vec<Server> = [20, 20, 20].map(|time| Server::new(ms(time), start)).into();
    servers[0].fails = true;

    run(&mut servers, 60.0, 30, start);

    let failed = f64::from(servers[0].served) / (60.0 * 30.0);
    assert!(failed < 0.1, "{failed}");
    assert_eq!(servers[0].speed, SpeedEstimator::default());
}

/// Guards against an upstream that gets its whole share as soon as it returns.
#[test]
fn a_returned_upstream_gets_its_share_gradually() {
    let start = Instant::now();
    let mut servers: Vec<Server> = [20; 8].map(|time| Server::new(ms(time), start)).into();
    for server in &mut servers[1..] {
        (0..8).for_each(|_| server.send(start));
    }
    servers[0].slow_start = SlowStart::new(start);
    let (baseline, mut rng) = (SpeedBaseline::default(), SmallRng::seed_from_u64(5));
    let mut share_at = |passed| {
        let chosen = |_| pick(&servers, &baseline, &mut rng, start + passed);
        (0..200).map(chosen).filter(|chosen| *chosen == 0).count()
    };

    let (at_first, at_last) = (share_at(ms(0)), share_at(ms(3_000)));

    // Seven of eight upstreams have 8 requests, so the mean is 7.
    assert_eq!((at_first, at_last), (200, 200));
    let mut sent = 0;
    while pick(&servers, &baseline, &mut rng, start) == 0 && sent < 8 {
        servers[0].send(start);
        sent += 1;
    }
    assert!(sent <= 3, "{sent}");
}

/// Guards against entries with the same reports that all choose the same upstreams.
#[test]
fn entries_that_choose_at_once_do_not_herd() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut received = [0; 72];

    for _ in 0..6 {
        let mut servers: Vec<Server> = received.iter().map(|_| Server::new(ms(20), now)).collect();
        let baseline = SpeedBaseline::default();
        for _ in 0..12 {
            let chosen = pick(&servers, &baseline, &mut rng, now);
            servers[chosen].send(now);
            received[chosen] += 1;
        }
    }

    let used = received.iter().filter(|received| **received > 0).count();
    assert!(used > 36 && received.iter().max() <= Some(&4), "{received:?}");
}

/// Guards against an upstream that stays slow in the entry's eyes, because it gets no request that
/// would show otherwise.
#[test]
fn a_slow_upstream_without_requests_is_tried_again() {
    let now = Instant::now();
    let mut speed = SpeedEstimator::default();
    speed.record(0.8, now);

    let slowness = |is_busy, passed| speed.slowness(0.1, is_busy, now + passed);

    assert_eq!(slowness(false, ms(0)), 8.0);
    assert_eq!(slowness(false, ms(12_000)), 1.0);
    assert_eq!(slowness(true, ms(12_000)), 8.0);
}

/// Guards against an upstream that stays slow for long after it is fast again.
#[test]
fn slowness_rises_at_once_and_falls_within_seconds() {
    let now = Instant::now();
    let mut speed = SpeedEstimator::default();
    speed.record(0.1, now);
    speed.record(0.8, now);

    let at_first = speed.slowness(0.1, true, now);
    (1..=30).for_each(|at| speed.record(0.1, now + ms(100) * at));
    let at_last = speed.slowness(0.1, true, now + ms(3_000));

    assert_eq!((at_first, at_last), (8.0, 1.0));
}

/// Guards against an upstream that is so slow that no response of it arrives, and counts as fast.
#[test]
fn requests_given_up_on_are_evidence_of_slowness_but_fast_failures_of_nothing() {
    let now = Instant::now();
    let mut speed = SpeedEstimator::default();
    speed.record_unanswered(9.0, now);
    let unknown = speed.slowness(0.1, true, now);
    speed.record(0.1, now);
    speed.record_unanswered(0.001, now + ms(1_000));
    let failed_fast = speed.recent_peak(now + ms(1_000));
    speed.record_unanswered(0.9, now + ms(1_000));

    assert_eq!((unknown, failed_fast), (1.0, Some(0.1)));
    assert_eq!(speed.slowness(0.1, true, now + ms(1_000)), 9.0);
}

/// Guards against a stall of all upstreams that counts as slowness of those that had requests then.
#[test]
fn upstreams_that_stall_together_are_not_slow() {
    let now = Instant::now();
    let mut speeds = [SpeedEstimator::default(); 6];
    speeds.iter_mut().for_each(|speed| speed.record(0.1, now));
    speeds.iter_mut().for_each(|speed| speed.record(1.2, now + ms(1_500)));

    let now = now + ms(1_500);
    let peaks = speeds.iter().filter_map(|speed| speed.recent_peak(now));
    let baseline = SpeedBaseline::default().get(peaks, now);

    assert!(speeds.iter().all(|speed| speed.slowness(baseline, true, now) == 1.0));
}

/// Engines that respond late at a load above the knee.
struct Engines {
    estimator: CapacityEstimator,
    /// When the running requests end.
    running: Vec<Vec<Instant>>,
    /// First events to come: when, when sent, and the load then.
    firsts: Vec<(Instant, Instant, f64)>,
    rng: SmallRng,
    is_heavy_tailed: bool,
}

impl Engines {
    fn new(is_heavy_tailed: bool) -> Self {
        Self {
            estimator: CapacityEstimator::new(10, 20),
            running: vec![Vec::new(); 12],
            firsts: Vec::new(),
            rng: SmallRng::seed_from_u64(11),
            is_heavy_tailed,
        }
    }

    /// Returns the duration of a stream, one second on average.
    fn duration(&mut self) -> Duration {
        if !self.is_heavy_tailed {
            return ms(1_000);
        }
        let draw: f64 = self.rng.random_range(0.0..1.0);
        Duration::from_secs_f64(0.33 / (1.0 - draw).powf(0.67)).min(ms(20_000))
    }

    /// Overloads the engines for some seconds. Returns the lowest and the highest capacity in the
    /// second half.
    fn overload(&mut self, knee: f64, seconds: u64, start: Instant) -> (f64, f64) {
        let (mut lowest, mut highest) = (f64::INFINITY, 0.0_f64);
        for at in 0..seconds * 200 {
            let now = start + ms(5) * at as u32;
            self.complete(now);
            let capacity = self.estimator.capacity(now).unwrap_or(10.0);
            if at >= seconds * 100 {
                (lowest, highest) = (lowest.min(capacity), highest.max(capacity));
            }
            let least = (0..self.running.len()).min_by_key(|at| self.running[*at].len()).unwrap();
            let load = self.running[least].len() as f64 + 1.0;
            if load <= capacity {
                let wait = if load > knee { ms(700) } else { ms(100) };
                self.firsts.push((now + wait, now, load));
                let end = now + self.duration();
                self.running[least].push(end);
            }
        }
        (lowest, highest)
    }

    fn complete(&mut self, now: Instant) {
        self.running.iter_mut().for_each(|running| running.retain(|end| *end > now));
        let (due, firsts) = self.firsts.iter().partition(|first| first.0 <= now);
        self.firsts = firsts;
        for (at, sent, load) in due {
            self.estimator.record(load, at - sent, TARGET, at);
        }
    }
}

/// Guards against a capacity that isn't found, is exceeded, or is that of the past.
#[rstest]
#[case::equal_lengths(false)]
#[case::heavy_tailed_lengths(true)]
fn the_capacity_of_engines_is_found_as_it_moves(#[case] is_heavy_tailed: bool) {
    let mut engines = Engines::new(is_heavy_tailed);
    let start = Instant::now();

    let before = engines.overload(5.0, 10, start);
    let raised = engines.overload(8.0, 10, start + ms(10_000));
    let lowered = engines.overload(6.0, 10, start + ms(20_000));

    for ((lowest, highest), knee) in [(before, 5.0), (raised, 8.0), (lowered, 6.0)] {
        assert!(lowest >= knee - 1.5 && highest <= knee + 1.0, "{knee}: {lowest} to {highest}");
    }
}

/// Guards against a capacity from the past that limits the first requests after a pause.
#[test]
fn without_samples_the_capacity_is_that_of_the_settings() {
    let mut engines = Engines::new(false);
    let start = Instant::now();
    engines.overload(5.0, 10, start);

    assert!(engines.estimator.capacity(start + ms(10_000)).is_some());
    assert_eq!(engines.estimator.capacity(start + ms(16_000)), None);
}

/// Guards against a capacity that falls by late first events at a low load, which the load did not
/// cause.
#[test]
fn late_first_events_at_a_low_load_leave_the_capacity() {
    let mut estimator = CapacityEstimator::new(10, 20);
    let start = Instant::now();
    for at in 0..40 {
        estimator.record(3.0, ms(900), TARGET, start + ms(50) * at);
    }

    assert!(estimator.capacity(start + ms(2_000)).is_none_or(|capacity| capacity == 10.0));
}

/// Guards against a change of what is on without settings that call for it.
#[rstest]
#[case::automatic_off(None, false, false, false)]
#[case::priorities(None, true, false, true)]
#[case::groups(None, false, true, true)]
#[case::set_off(Some(false), true, true, false)]
#[case::set_on(Some(true), false, false, true)]
fn learning_is_on_where_settings_call_for_it(
    #[case] setting: Option<bool>,
    #[case] has_priorities: bool,
    #[case] has_groups: bool,
    #[case] is_on: bool,
) {
    let switch = CapacitySwitch::new(setting);
    switch.set_groups(has_groups);

    assert_eq!(switch.is_on(has_priorities), is_on);
}

fn candidates() -> impl Strategy<Value = Vec<Candidate>> {
    let others = prop::option::of((0.0..40.0, 0_u64..3_000));
    let others = others.prop_map(|others| {
        others.map(|(requests, age)| OtherEntriesLoad { requests, age: ms(age) })
    });
    let candidate =
        (0_u32..30, others).prop_map(|(own, others)| Candidate { own, others, avoid_until: None });
    prop::collection::vec(candidate, 1..40)
}

fn size() -> impl Strategy<Value = RequestSize> {
    let tokens = || prop::option::of(any::<u32>());
    (tokens(), tokens(), tokens()).prop_map(|(prompt, max_output, length_hint)| RequestSize {
        prompt,
        max_output,
        length_hint,
    })
}

proptest! {
    #![proptest_config(proptest_config())]

    /// Guards against another choice than by the number of requests where nothing is known.
    #[test]
    fn with_equal_speeds_and_sizes_the_fewest_requests_decide(
        candidates in candidates(),
        near in prop::collection::vec(any::<bool>(), 40),
        ties in prop::collection::vec(0.0..0.3, 40),
    ) {
        let loads = estimate_loads(&candidates);
        let ratings: Vec<Rating> =
            candidates.iter().map(|candidate| Rating::unknown(candidate.own)).collect();
        let expected = expected_loads(&candidates, &loads, &ratings, 1.0);

        let by_work = choose(&candidates, &expected, |at| near[at], |at| ties[at]);
        let by_number = choose(&candidates, &loads, |at| near[at], |at| ties[at]);

        prop_assert_eq!(by_work, by_number);
    }

    /// Guards against an estimate that no decision can use.
    #[test]
    fn capacity_stays_within_its_bounds(
        samples in prop::collection::vec((prop::num::f64::ANY, any::<u64>(), 0_u64..2_000), 1..80),
        (slots, queue) in (0_u32..100, 0_u32..100),
    ) {
        let (mut estimator, mut now) = (CapacityEstimator::new(slots, queue), Instant::now());
        let slots = f64::from(slots.max(1));
        for (load, time, passed) in samples {
            now += ms(passed);
            estimator.record(load, ms(time), TARGET, now);
            estimator.record(load.abs() % 20.0, ms(time % 900), TARGET, now);

            let capacity = estimator.capacity(now).unwrap_or(slots);
            prop_assert!(capacity >= slots * 0.5 && capacity <= slots + f64::from(queue));
        }
    }

    /// Guards against a slowness that shuts an upstream out, or none at all.
    #[test]
    fn slowness_stays_within_its_bounds(
        samples in prop::collection::vec((prop::num::f64::ANY, 0_u64..9_000), 0..40),
        baseline in prop::num::f64::ANY,
        is_busy in any::<bool>(),
    ) {
        let (mut speed, mut now) = (SpeedEstimator::default(), Instant::now());
        for (sample, passed) in samples {
            now += ms(passed);
            speed.record(sample, now);
        }

        let slowness = speed.slowness(baseline, is_busy, now + ms(1_000));

        prop_assert!((1.0..=16.0).contains(&slowness), "{}", slowness);
    }

    /// Guards against a hint by which a caller makes its request count for less, or other requests
    /// for more.
    #[test]
    fn a_hint_never_makes_a_request_count_for_less(
        streams in prop::collection::vec((size(), any::<u32>()), 0..20),
        request in size(),
    ) {
        let mut estimator = WorkEstimator::default();
        let mut without_hints = WorkEstimator::default();
        let unhinted = |size: RequestSize| RequestSize { length_hint: None, ..size };
        for (size, events) in streams {
            estimator.record(&size, events, &engine());
            without_hints.record(&unhinted(size), events, &engine());
        }

        let work = estimator.work(&request, &engine());

        prop_assert!((0.25..=4.0).contains(&work), "{}", work);
        prop_assert!(work >= estimator.work(&unhinted(request), &engine()));
        prop_assert_eq!(estimator, without_hints);
    }

    /// Guards against refusals while an upstream has a free place.
    #[test]
    fn a_plain_service_with_a_free_place_refuses_nothing(
        full in prop::collection::vec((6.0..90.0, 1_u64..9_000), 0..9),
        free in 0.0..6.0,
        left in 0_u64..2_000,
    ) {
        let load = |requests, time| PlainLoad { requests, slots: Some(6), time: Some(ms(time)) };
        let full: Vec<PlainLoad> = full.into_iter().map(|(load_, time)| load(load_, time)).collect();

        let upstreams = full.into_iter().chain([load(free, 5_000)]);

        prop_assert_eq!(admit_plain(upstreams, ms(left)), Admission::Admit);
    }
}

//! What entries do to the platform and to upstreams together when there are many of them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ebonyusher::direct::{
    Changes, Cursor, DirectNode, Directory, DirectoryError, HeaderNames, Inactivity, KnownEntries,
    ListChange, ListedUpstream, RetryBudget, RetryLimits, RoutingChange, RowChange, SilenceLimit,
};
use ebonyusher::event_log::{EventLog, Level};
use ebonyusher::platform::{Row, Table, TableError, Txn};
use ebonyusher::settings::{DirectFile, Machine, RetrySettings};
use ebonyusher::units::BootTime;
use ebonyusher_standin::MemPlatform;
use http::HeaderName;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use tokio::time::{Instant, sleep};

const ENTRIES: usize = 53;

/// A directory whose list of upstreams changes at an interval. It counts calls.
#[derive(Debug)]
struct ChangingDirectory {
    table: MemPlatform,
    interval: Duration,
    started: Instant,
    calls: AtomicU64,
}

impl ChangingDirectory {
    fn new(interval: Duration) -> Self {
        let (table, started) = (MemPlatform::new(), Instant::now());
        Self { table, interval, started, calls: AtomicU64::new(0) }
    }

    /// Returns the version of the list's last change.
    fn version(&self) -> u64 {
        (self.started.elapsed().as_millis() / self.interval.as_millis()) as u64 + 1
    }

    async fn unchanged<T>(
        &self,
        after: Option<Cursor>,
        wait: Duration,
    ) -> Result<Changes<T>, DirectoryError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        if after.is_some() {
            sleep(wait).await;
        }
        Ok(Changes { items: Vec::new(), cursor: Cursor { era: 0, version: 1 } })
    }
}

impl Directory for ChangingDirectory {
    async fn routing(
        &self,
        after: Option<Cursor>,
        wait: Duration,
    ) -> Result<Changes<RoutingChange>, DirectoryError> {
        self.unchanged(after, wait).await
    }

    async fn upstreams(
        &self,
        after: Option<Cursor>,
        wait: Duration,
    ) -> Result<Changes<ListChange>, DirectoryError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let called = Instant::now();
        while after.is_some_and(|after| after.version == self.version()) && called.elapsed() < wait
        {
            sleep(Duration::from_millis(1)).await;
        }
        let version = self.version();
        let listed = ListedUpstream {
            id: format!("u-{}", version % 134),
            service: "desk".to_owned(),
            addr: "127.0.0.1:9".parse().unwrap(),
            domain: "osu".to_owned(),
            draining: false,
            started_at_ms: Some(version),
            cold: Duration::ZERO,
        };
        let cursor = Cursor { era: 0, version };
        let has_changed = after.is_none_or(|after| after.version != version);
        let items = has_changed.then_some(ListChange::Listed(listed)).into_iter().collect();
        Ok(Changes { items, cursor })
    }

    async fn rows(
        &self,
        after: Option<Cursor>,
        wait: Duration,
    ) -> Result<Changes<RowChange>, DirectoryError> {
        self.unchanged(after, wait).await
    }
}

impl Table for ChangingDirectory {
    async fn get(&self, key: &str) -> Result<Option<Row>, TableError> {
        self.table.get(key).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, TableError> {
        self.table.scan(prefix).await
    }

    async fn commit(&self, txn: &Txn) -> Result<u64, TableError> {
        self.table.commit(txn).await
    }
}

pub fn entry_file(at: usize) -> DirectFile {
    let any_port = "127.0.0.1:0".parse().unwrap();
    DirectFile {
        name: format!("entry-{at}"),
        domain: "osu".to_owned(),
        listen: any_port,
        readiness: any_port,
        metrics: None,
        platform: any_port,
        grace_seconds: 1.0,
        drain_ms: 4_000.0,
        detection_ms: 5_000.0,
        evacuate_ms: None,
        key_age_ms: Some(5_000.0),
        retries: RetrySettings { share: 0.2, window_seconds: 10.0, slack: 264.0, entries: 512.0 },
        quarantine_seconds: 60.0,
        learned_capacity: None,
        machine: Machine::ENTRY,
    }
}

pub fn header_names() -> HeaderNames {
    let name = HeaderName::from_static;
    HeaderNames {
        attempt: name("attempt"),
        deadline: name("deadline"),
        account: name("account"),
        upstream: name("upstream"),
        not_run: name("not-run"),
        load: name("load"),
        limit: name("limit"),
        draining: name("draining"),
        seal: name("seal"),
        urgency: name("urgency"),
        tokens: name("tokens"),
        prompt: name("prompt"),
        length_hint: name("length-hint"),
    }
}

/// Guards against entries that call the platform at each change of a list in which something always
/// changes, or often though nothing changes. `max_calls` is per second and entry.
#[rstest]
#[case::always(Duration::from_millis(50), 1.8)]
#[case::hardly_ever(Duration::from_secs(3_600), 0.9)]
#[tokio::test(start_paused = true)]
async fn entries_call_the_platform_seldom_however_often_its_list_changes(
    #[case] interval: Duration,
    #[case] max_calls: f64,
) {
    let directory = Arc::new(ChangingDirectory::new(interval));
    let mut entries = Vec::new();
    for at in 0..ENTRIES {
        let log = EventLog::start("entry", Level::Error, std::io::sink());
        let directory = Arc::clone(&directory);
        let node = DirectNode::start(&entry_file(at), header_names(), directory, log).await;
        entries.push(node.expect("starts"));
    }
    let time = Duration::from_secs(60);
    sleep(time).await;

    let per_entry = directory.calls.load(Ordering::Relaxed) as f64 / ENTRIES as f64;
    entries.into_iter().for_each(DirectNode::kill);
    assert!(per_entry <= max_calls * time.as_secs_f64(), "{per_entry} calls of each entry");
}

/// Guards against a budget that is divided by a fixed number of entries. All begin without knowing the
/// others, as after a restart, and learn of each other while requests fail.
#[test]
fn the_retries_of_many_entries_stay_within_their_common_budget() {
    const SLACK: f64 = 264.0;
    const REQUESTS_PER_ENTRY: u32 = 70;
    let window = Duration::from_secs(10);
    for entries in [5_u32, 53, 370] {
        let limits = RetryLimits { share: 0.2, window, slack: SLACK };
        let fleet: Vec<(RetryBudget, KnownEntries)> = (0..entries)
            .map(|at| (RetryBudget::new(limits), KnownEntries::new(&at.to_string(), 512.0, window)))
            .collect();
        let mut retries = 0;
        for at in 0..REQUESTS_PER_ENTRY * 2 {
            let now = BootTime::after_boot(window * 10 + window * at / REQUESTS_PER_ENTRY);
            for (number, (budget, known)) in fleet.iter().enumerate() {
                // It learns of all within the first twentieth of the play.
                if at < 7 {
                    let others = (0..entries).filter(|other| other % 7 == at);
                    others.for_each(|other| known.record(&other.to_string(), now));
                    known.record(&number.to_string(), now);
                }
                budget.earn(now);
                let granted = (0..4).filter(|_| budget.spend(now, known.part(now)).is_granted);
                retries += if at < REQUESTS_PER_ENTRY { 0 } else { granted.count() };
            }
        }
        let allowed = 0.2 * f64::from(entries * REQUESTS_PER_ENTRY) + SLACK;
        assert!(retries as f64 <= allowed, "{entries} entries: {retries} retries of {allowed}");
        assert!(retries as f64 >= 0.5 * allowed, "{entries} entries: only {retries}");
    }
}

/// A request that waits in the queue of a sound upstream.
fn waited(rng: &mut SmallRng, longest_ms: u64) -> Duration {
    Duration::from_millis(rng.random_range(100..longest_ms))
}

/// Returns how many of `requests` are moved away from upstreams of which each has one request.
fn moved(limit: &mut SilenceLimit, waits: impl Iterator<Item = Duration>) -> usize {
    let mut moved = 0;
    for wait in waits {
        let mut inactivity = Inactivity::default();
        inactivity.record_request(Duration::ZERO);
        if inactivity.is_stuck(wait, limit.get()) {
            moved += 1;
            limit.record(limit.get());
        } else {
            limit.record(wait);
        }
    }
    moved
}

/// Guards against sound upstreams that are taken for stuck because their queues are long. The bound
/// of 1 in 200 counts from when the queues have built up.
#[test]
fn sound_upstreams_with_long_queues_keep_their_requests() {
    for longest_ms in [300, 900, 1_800] {
        let mut rng = SmallRng::seed_from_u64(longest_ms);
        let mut limit = SilenceLimit::default();
        moved(&mut limit, (0..40).map(|_| waited(&mut rng, longest_ms)));

        let moved = moved(&mut limit, (0..2_000).map(|_| waited(&mut rng, longest_ms)));

        assert!(moved <= 10, "{moved} of 2000 moved, waits up to {longest_ms} ms");
    }
}

/// Guards against a limit that grows so far by the waits for silent upstreams that callers leave
/// before their requests are moved.
#[test]
fn requests_at_silent_upstreams_are_moved_in_time() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut limit = SilenceLimit::default();
    let waits = (0..2_000)
        .map(|at| if at % 20 == 19 { Duration::from_secs(60) } else { waited(&mut rng, 300) });

    let moved = moved(&mut limit, waits);

    assert_eq!(moved, 100);
    assert!(limit.get() < Duration::from_millis(1_500), "{:?}", limit.get());
}

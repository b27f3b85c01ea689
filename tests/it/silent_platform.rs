//! What entries know once their connections to the platform have gone silent without a reset.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use ebonyusher::direct::{
    Changes, Cursor, DirectNode, Directory, DirectoryError, ListChange, RoutingChange, RowChange,
};
use ebonyusher::event_log::{EventLog, Level};
use ebonyusher::platform::{Row, Table, TableError, Txn};
use ebonyusher::settings::DirectFile;
use ebonyusher_standin::MemPlatform;
use rstest::rstest;
use tokio::time::{Instant, sleep};

use crate::large_fleet::{entry_file, header_names};

/// What an entry follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Topic {
    Settings,
    Upstreams,
    Rows,
}

/// Time after which a directory gives up a call, beyond the time that it waits for changes.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A directory without changes. The calls that are in flight at one moment are never answered; those
/// made later are.
#[derive(Debug)]
struct SilencedDirectory {
    table: MemPlatform,
    silent_at: Instant,
    /// Topic of each call that was sent after that moment and answered, and when it was sent.
    answered: Mutex<Vec<(Topic, Instant)>>,
}

impl SilencedDirectory {
    async fn call<T>(
        &self,
        topic: Topic,
        after: Option<Cursor>,
        wait: Duration,
    ) -> Result<Changes<T>, DirectoryError> {
        let sent = Instant::now();
        let waits = after.is_some() && !wait.is_zero();
        if waits && sent < self.silent_at && sent + wait > self.silent_at {
            sleep(wait + CALL_TIMEOUT).await;
            return Err(DirectoryError::Unavailable("timeout".to_owned()));
        }
        if sent >= self.silent_at {
            self.answered.lock().unwrap().push((topic, sent));
        }
        if waits {
            sleep(wait).await;
        }
        Ok(Changes { items: Vec::new(), cursor: Cursor { era: 0, version: 1 } })
    }

    /// Returns the time from the silence to the first call on a topic that is answered.
    fn time_to_answer(&self, topic: Topic) -> Option<Duration> {
        let answered = self.answered.lock().unwrap();
        let first = answered.iter().find(|(other, _)| *other == topic);
        first.map(|(_, sent)| sent.duration_since(self.silent_at))
    }
}

impl Directory for SilencedDirectory {
    async fn routing(
        &self,
        after: Option<Cursor>,
        wait: Duration,
    ) -> Result<Changes<RoutingChange>, DirectoryError> {
        self.call(Topic::Settings, after, wait).await
    }

    async fn upstreams(
        &self,
        after: Option<Cursor>,
        wait: Duration,
    ) -> Result<Changes<ListChange>, DirectoryError> {
        self.call(Topic::Upstreams, after, wait).await
    }

    async fn rows(
        &self,
        after: Option<Cursor>,
        wait: Duration,
    ) -> Result<Changes<RowChange>, DirectoryError> {
        self.call(Topic::Rows, after, wait).await
    }
}

impl Table for SilencedDirectory {
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

/// Returns the longest time from the silence, at many moments, to the first answer on a topic.
async fn longest_time_to_answer(topic: Topic, file: &DirectFile) -> Duration {
    let mut directories = Vec::new();
    let mut entries = Vec::new();
    for at in 0..80 {
        let directory = Arc::new(SilencedDirectory {
            table: MemPlatform::new(),
            silent_at: Instant::now() + Duration::from_millis(5_000 + 53 * at),
            answered: Mutex::default(),
        });
        directories.push(Arc::clone(&directory));
        let log = EventLog::start("entry", Level::Error, std::io::sink());
        let entry = DirectNode::start(file, header_names(), directory, log).await;
        entries.push(entry.expect("starts"));
    }
    sleep(Duration::from_secs(40)).await;
    entries.into_iter().for_each(DirectNode::kill);
    let times = directories.iter().map(|directory| directory.time_to_answer(topic));
    times.map(|time| time.unwrap_or(Duration::MAX)).max().expect("times")
}

/// Guards against knowledge that stays old after connections to the platform have gone silent. It
/// must be fresh again within the time in which an entry must notice that. One case for each topic
/// and size of deployment.
#[rstest]
#[case::settings(Topic::Settings, 3_000.0)]
#[case::settings_of_a_larger_one(Topic::Settings, 4_000.0)]
#[case::upstreams(Topic::Upstreams, 3_000.0)]
#[case::upstreams_of_a_larger_one(Topic::Upstreams, 5_000.0)]
#[case::rows(Topic::Rows, 3_000.0)]
#[case::rows_of_a_larger_one(Topic::Rows, 5_000.0)]
#[tokio::test(start_paused = true)]
async fn silent_connections_to_the_platform_are_noticed_in_time(
    #[case] topic: Topic,
    #[case] detection_ms: f64,
) {
    let file = DirectFile { detection_ms, drain_ms: detection_ms - 1_000.0, ..entry_file(0) };

    let longest = longest_time_to_answer(topic, &file).await;

    let detection = Duration::from_secs_f64(detection_ms / 1e3);
    assert!(longest < detection, "{longest:?} of {detection:?}");
}

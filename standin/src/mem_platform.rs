use std::collections::BTreeMap;
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use ebonyusher::platform::{
    Instance, InstanceList, ListError, ObjectError, ObjectStore, Phase, Row, Table, TableError, Txn,
};
use tokio::time::sleep;

use crate::lagging::Lagging;
use crate::rate_limiter::RateLimiter;
use crate::{Faults, WriteOutcome};

/// Reads per second that the platform allows.
const READS_PER_SECOND: f64 = 2_000.0;
/// Writes per second that the platform allows.
const WRITES_PER_SECOND: f64 = 400.0;

/// An in-memory platform with faults that can be switched on.
#[derive(Debug)]
pub struct MemPlatform {
    table: Mutex<TableState>,
    objects: Mutex<HashMap<String, Bytes>>,
    list: Mutex<Lagging<Vec<Instance>>>,
    faults: Mutex<Faults>,
    scripted_writes: Mutex<VecDeque<WriteOutcome>>,
    reads: RateLimiter,
    writes: RateLimiter,
    read_count: AtomicU64,
    write_count: AtomicU64,
}

#[derive(Debug, Default)]
struct TableState {
    rows: BTreeMap<String, Row>,
    version: u64,
}

impl Default for MemPlatform {
    fn default() -> Self {
        Self::new()
    }
}

impl MemPlatform {
    /// Creates an empty platform without faults.
    pub fn new() -> Self {
        Self {
            table: Mutex::default(),
            objects: Mutex::default(),
            list: Mutex::new(Lagging::new(Vec::new())),
            faults: Mutex::default(),
            scripted_writes: Mutex::default(),
            reads: RateLimiter::new(READS_PER_SECOND),
            writes: RateLimiter::new(WRITES_PER_SECOND),
            read_count: AtomicU64::new(0),
            write_count: AtomicU64::new(0),
        }
    }

    /// Replaces the faults that are switched on.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
    }

    /// Returns the faults that are switched on.
    pub fn faults(&self) -> Faults {
        *lock(&self.faults)
    }

    /// Queues the outcomes of the next writes to the table, one for each write.
    pub fn script_writes(&self, outcomes: impl IntoIterator<Item = WriteOutcome>) {
        lock(&self.scripted_writes).extend(outcomes);
    }

    /// Adds an instance, or replaces the one of the same name.
    pub fn add_instance(&self, inst: Instance) {
        self.change_list(|list| {
            list.retain(|known| known.name != inst.name);
            list.push(inst);
        });
    }

    /// Removes an instance from the list.
    pub fn remove_instance(&self, name: &str) {
        self.change_list(|list| list.retain(|known| known.name != name));
    }

    /// Marks an instance as leaving.
    pub fn mark_leaving(&self, name: &str) {
        self.change_list(|list| {
            for inst in list.iter_mut().filter(|inst| inst.name == name) {
                inst.phase = Phase::Leaving;
            }
        });
    }

    /// Returns the numbers of reads and writes that were requested since the start.
    pub fn call_counts(&self) -> (u64, u64) {
        (self.read_count.load(Ordering::Relaxed), self.write_count.load(Ordering::Relaxed))
    }

    fn change_list(&self, change: impl FnOnce(&mut Vec<Instance>)) {
        let mut list = lock(&self.list);
        let mut next = list.get(Duration::ZERO).clone();
        change(&mut next);
        list.set(next);
    }

    fn next_outcome(&self) -> WriteOutcome {
        let scripted = lock(&self.scripted_writes).pop_front();
        let faults = self.faults();
        scripted.unwrap_or_else(|| match rand::random::<f64>() {
            draw if draw < faults.lost_writes => WriteOutcome::Lost,
            draw if draw < faults.lost_writes + faults.lost_answers => WriteOutcome::AnswerLost,
            _ => WriteOutcome::Answered,
        })
    }

    async fn check_read(&self) -> Result<(), TableError> {
        self.read_count.fetch_add(1, Ordering::Relaxed);
        self.check_access(&self.reads).await
    }

    async fn check_access(&self, rate: &RateLimiter) -> Result<(), TableError> {
        let faults = self.faults();
        if faults.slow_ms > 0 {
            sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.down {
            return Err(TableError::Unavailable("down".to_owned()));
        }
        if !rate.try_acquire() {
            return Err(TableError::Unavailable("over the rate".to_owned()));
        }
        Ok(())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl TableState {
    fn apply(&mut self, txn: &Txn) -> Result<u64, TableError> {
        let checks_hold = txn
            .checks
            .iter()
            .all(|check| self.rows.get(&check.key).map(|row| row.version) == check.version);
        if !checks_hold {
            return Err(TableError::Conflict);
        }
        self.version += 1;
        for write in &txn.writes {
            match &write.value {
                Some(value) => {
                    let (key, version) = (write.key.clone(), self.version);
                    let row = Row { key: key.clone(), version, value: value.clone() };
                    self.rows.insert(key, row);
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        Ok(self.version)
    }
}

impl Table for MemPlatform {
    async fn get(&self, key: &str) -> Result<Option<Row>, TableError> {
        self.check_read().await?;
        Ok(lock(&self.table).rows.get(key).cloned())
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, TableError> {
        self.check_read().await?;
        let table = lock(&self.table);
        let from = table.rows.range(prefix.to_owned()..);
        Ok(from
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, row)| row.clone())
            .collect())
    }

    async fn commit(&self, txn: &Txn) -> Result<u64, TableError> {
        self.write_count.fetch_add(1, Ordering::Relaxed);
        self.check_access(&self.writes).await?;
        match self.next_outcome() {
            WriteOutcome::Refused => Err(TableError::Unavailable("refused".to_owned())),
            WriteOutcome::Lost => Err(TableError::Unknown("the write was lost".to_owned())),
            WriteOutcome::Answered => lock(&self.table).apply(txn),
            WriteOutcome::AnswerLost => {
                // The caller does not learn whether the write applied or conflicted.
                lock(&self.table).apply(txn).ok();
                Err(TableError::Unknown("the answer was lost".to_owned()))
            }
        }
    }
}

impl ObjectStore for MemPlatform {
    async fn read(&self, name: &str) -> Result<Option<Bytes>, ObjectError> {
        let access = self.check_read().await;
        access.map_err(|err| ObjectError::Unavailable(err.to_string()))?;
        Ok(lock(&self.objects).get(name).cloned())
    }

    async fn write(&self, name: &str, body: Bytes) -> Result<(), ObjectError> {
        self.write_count.fetch_add(1, Ordering::Relaxed);
        let access = self.check_access(&self.writes).await;
        access.map_err(|err| ObjectError::Unavailable(err.to_string()))?;
        lock(&self.objects).insert(name.to_owned(), body);
        Ok(())
    }
}

impl InstanceList for MemPlatform {
    async fn list(&self) -> Result<Vec<Instance>, ListError> {
        let faults = self.faults();
        if faults.list_down {
            return Err(ListError::Unavailable("down".to_owned()));
        }
        let lag = Duration::from_millis(faults.list_lag_ms);
        Ok(lock(&self.list).get(lag).clone())
    }
}

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use procfs::ProcResult;
use procfs::process::{FDTarget, Process};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Interval at which the usage of a process is read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(40);
const KIB: u64 = 1 << 10;

/// What a process holds of its machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Resident memory in bytes.
    pub resident: u64,
    /// Bytes that wait in its TCP connections: received and not read, or written and not received.
    pub queued: u64,
    /// Number of open file descriptors.
    pub descriptors: usize,
}

impl ProcessUsage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    /// If the process does not run.
    pub fn read(pid: u32) -> ProcResult<Self> {
        let process = Process::new(i32::try_from(pid).unwrap_or(i32::MAX))?;
        let (mut sockets, mut descriptors) = (HashSet::new(), 0);
        for descriptor in process.fd()?.flatten() {
            descriptors += 1;
            if let FDTarget::Socket(inode) = descriptor.target {
                sockets.insert(inode);
            }
        }
        let conns = procfs::net::tcp()?;
        let own = conns.iter().filter(|conn| sockets.contains(&conn.inode));
        let queued = own.map(|conn| u64::from(conn.rx_queue) + u64::from(conn.tx_queue)).sum();
        let resident = process.status()?.vmrss.unwrap_or_default() * KIB;
        Ok(Self { resident, queued, descriptors })
    }

    /// Returns the bytes that it holds in all.
    pub const fn memory(&self) -> u64 {
        self.resident + self.queued
    }
}

/// The most that a process has held of each since the watch began.
#[derive(Debug)]
pub struct PeakUsage {
    pid: u32,
    peak: Arc<Mutex<(u64, usize)>>,
    sampling: JoinHandle<()>,
}

impl PeakUsage {
    /// Starts to watch a process.
    pub fn watch(pid: u32) -> Self {
        let peak: Arc<Mutex<(u64, usize)>> = Arc::default();
        let shared = Arc::clone(&peak);
        let sampling = tokio::spawn(async move {
            while let Ok(usage) = ProcessUsage::read(pid) {
                record(&shared, usage);
                sleep(SAMPLE_INTERVAL).await;
            }
        });
        Self { pid, peak, sampling }
    }

    /// Ends the watch, and returns the most bytes and the most descriptors.
    pub fn close(self) -> (u64, usize) {
        self.sampling.abort();
        let (memory, descriptors) = *self.peak.lock().unwrap_or_else(PoisonError::into_inner);
        // Between two samples the kernel has kept the most of the resident memory.
        let process = Process::new(i32::try_from(self.pid).unwrap_or(i32::MAX));
        let status = process.and_then(|process| process.status());
        let resident = status.ok().and_then(|status| status.vmhwm).unwrap_or_default() * KIB;
        (memory.max(resident), descriptors)
    }
}

fn record(peak: &Mutex<(u64, usize)>, usage: ProcessUsage) {
    let mut peak = peak.lock().unwrap_or_else(PoisonError::into_inner);
    *peak = (peak.0.max(usage.memory()), peak.1.max(usage.descriptors));
}

use nix::sys::resource::{Resource, getrlimit};
use serde::{Deserialize, Serialize};

const MIB: usize = 1 << 20;
/// The memory of a machine divided by what a process may hold for its callers. The rest is for the
/// process itself, its connections and their buffers.
const BUDGET_DIVISOR: usize = 4;
/// Memory of a process without callers.
const PROCESS_BYTES: usize = 16 * MIB;
/// Memory that one connection may take beside that: 24 KiB of the process, and twice 32 KiB of the
/// kernel in each direction.
const CONNECTION_BYTES: usize = 152 << 10;
/// Files that are neither connections to callers nor to upstreams.
const OTHER_FILES: usize = 200;
/// Files that a caller's connection may take: itself, one to an upstream, and an idle one.
const CONNECTION_FILES: usize = 3;
/// Minimum number of callers' connections.
const MIN_CONNECTIONS: usize = 16;

/// What the machine of a process allows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Machine {
    /// Memory in MiB.
    pub memory_mib: usize,
    /// Number of file descriptors. The limit of the operating system holds if it is lower.
    pub files: usize,
}

impl Machine {
    /// The smallest machine that an entry without sidecars runs on.
    pub const ENTRY: Self = Self { memory_mib: 160, files: 4_100 };
    /// The smallest machine that any other process runs on.
    pub const NODE: Self = Self { memory_mib: 128, files: 2_048 };

    /// Returns a machine with half of all, for a process that listens for other processes as well.
    pub const fn half(&self) -> Self {
        Self { memory_mib: self.memory_mib / 2, files: self.files / 2 }
    }

    /// Returns how many bytes the process may hold for its callers.
    ///
    /// ```
    /// # use ebonyusher::settings::Machine;
    /// assert_eq!(Machine::ENTRY.budget(), 40 << 20);
    /// ```
    pub const fn budget(&self) -> usize {
        self.memory_mib * MIB / BUDGET_DIVISOR
    }

    /// Returns how many connections callers may have at a time.
    ///
    /// ```
    /// # use ebonyusher::settings::Machine;
    /// assert_eq!(Machine { memory_mib: 160, files: 500 }.connections(), 100);
    /// ```
    pub fn connections(&self) -> usize {
        let allowed = getrlimit(Resource::RLIMIT_NOFILE).map_or(u64::MAX, |(soft, _)| soft);
        let files = self.files.min(usize::try_from(allowed).unwrap_or(usize::MAX));
        let by_files = files.saturating_sub(OTHER_FILES) / CONNECTION_FILES;
        let left = self.memory_mib * MIB - self.budget();
        let by_memory = left.saturating_sub(PROCESS_BYTES) / CONNECTION_BYTES;
        by_files.min(by_memory).max(MIN_CONNECTIONS)
    }
}

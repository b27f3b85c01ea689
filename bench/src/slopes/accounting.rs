use std::fs;

use procfs::process::Process;

const NANOS_PER_MICRO: f64 = 1e3;

/// Returns the CPU time, in microseconds, of all threads whose name starts with a prefix, from the
/// scheduler statistics of each thread.
pub(super) fn thread_micros(prefix: &str) -> f64 {
    let Ok(tasks) = Process::myself().and_then(|process| process.tasks()) else {
        return 0.0;
    };
    let micros = |task: procfs::process::Task| {
        let stat = task.stat().ok().filter(|stat| stat.comm.starts_with(prefix))?;
        let path = format!("/proc/self/task/{}/schedstat", stat.pid);
        let text = fs::read_to_string(path).ok()?;
        let nanos: f64 = text.split_whitespace().next()?.parse().ok()?;
        Some(nanos / NANOS_PER_MICRO)
    };
    tasks.filter_map(Result::ok).filter_map(micros).sum()
}

/// Returns the resident memory of this process, in bytes.
pub(super) fn resident_bytes() -> f64 {
    let stat = Process::myself().and_then(|process| process.stat());
    stat.map_or(0.0, |stat| stat.rss as f64 * procfs::page_size() as f64)
}

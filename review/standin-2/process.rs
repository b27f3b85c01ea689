//! The project's own programs, started as the deploy file says.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{call, free_addr};

/// A process of the project, which is killed when this value is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    fn start(program: &str, name: &str, settings: &str, dir: &Path) -> Self {
        let path: PathBuf = dir.join(format!("{name}.json"));
        fs::write(&path, settings).expect("the settings file");
        let log = fs::File::create(dir.join(format!("{name}.log"))).expect("the log file");
        let child = Command::new(format!("target/release/{program}"))
            .env_clear()
            .env("EBONYUSHER_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()
            .expect("a program of the deploy file");
        // For run.sh, if it is interrupted.
        let pids = fs::OpenOptions::new().create(true).append(true).open(dir.join("pids"));
        pids.and_then(|mut pids| writeln!(pids, "{}", child.id())).ok();
        Self { child }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Bounds of a small deployment, as its sheet names them.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub drain_ms: u64,
    pub contact_ms: u64,
    pub retry_slack: u64,
    pub evacuate_ms: Option<u64>,
}

/// An entry: `ebonyusher-platform-entry`.
pub struct Entry {
    _process: Process,
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
}

impl Entry {
    /// Starts an entry with the settings that `deploy/entry.json.tmpl` renders.
    pub fn start(name: &str, zone: &str, store: SocketAddr, bounds: Bounds, dir: &Path) -> Self {
        let (frontend, readiness, metrics) = (free_addr(), free_addr(), free_addr());
        let Bounds { drain_ms, contact_ms, retry_slack, evacuate_ms } = bounds;
        let evacuate = evacuate_ms.map(|ms| format!("\"evacuate-ms\": {ms},")).unwrap_or_default();
        let settings = format!(
            r#"{{
  "name": "{name}", "domain": "{zone}", "listen": "{frontend}", "readiness": "{readiness}",
  "metrics": "{metrics}", "platform": "{store}", "grace-seconds": 8,
  "drain-ms": {drain_ms}, "detection-ms": {contact_ms}, {evacuate} "key-age-ms": 5000,
  "machine": {{ "memory-mib": 260, "files": 4100 }},
  "retries": {{ "share": 0.2, "window-seconds": 10, "slack": {retry_slack} }}
}}"#
        );
        let process = Process::start("ebonyusher-platform-entry", name, &settings, dir);
        Self { _process: process, frontend, readiness }
    }

    pub fn is_ready(&self) -> bool {
        let ask = "GET /v1/readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        call(self.readiness, ask, b"", Duration::from_millis(500))
            .is_ok_and(|it| it.status() == 200)
    }
}

/// Waits until all entries are ready. Returns whether they are.
pub fn wait_ready(entries: &[Entry]) -> bool {
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        if entries.iter().all(Entry::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};

use serde::Serialize;

/// Number of programs started so far, so that each has files of its own.
static STARTED: AtomicUsize = AtomicUsize::new(0);

/// A program under test that runs as a child process.
#[derive(Debug)]
pub struct Program {
    child: Child,
    dir: PathBuf,
}

impl Program {
    /// Starts a program with a settings file.
    pub fn start(path: &str, settings: &impl Serialize) -> Self {
        let at = STARTED.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("crowd-node-{}-{at}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let file = dir.join("settings.json");
        let text = serde_json::to_string(settings).expect("settings");
        std::fs::write(&file, text).expect("settings are written");
        let log = std::fs::File::create(dir.join("log")).expect("a log");
        let child = Command::new(path)
            .arg("--settings")
            .arg(file)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().expect("a log")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the program starts");
        Self { child, dir }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        std::fs::remove_dir_all(&self.dir).ok();
    }
}

//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes lines with the time since the start. Clones share it.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    out: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let out = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Self { started: Instant::now(), out })
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        writeln!(self.out.lock().expect("the record"), "{at:9.4} {text}").ok();
    }

    /// Writes a line that is also printed.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    pub fn flush(&self) {
        self.out.lock().expect("the record").flush().ok();
    }
}

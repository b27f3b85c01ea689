use std::collections::BTreeSet;
use std::fs;
use std::path::PathBuf;

use serde_json::{Map, Value};

use super::CtlError;
use crate::settings::ParseError;

/// Time before a request's first line in which changes of what its process believed are shown.
const BEFORE_MS: u64 = 5_000;

/// A line of a structured log.
#[derive(Clone, Debug, PartialEq)]
struct LogLine {
    at: u64,
    node: String,
    event: String,
    fields: Map<String, Value>,
}

/// The decisions about one request in saved logs, in order, and between them what its processes
/// came to believe meanwhile: settings, the platform, readiness, and the upstreams it went to.
///
/// ```
/// # use ebonyusher::ctl::explain;
/// let log = r#"{"at":5,"node":"entry-1","level":"info","event":"sent","id":"a","upstream":"u"}
/// {"at":9,"node":"entry-1","level":"warn","event":"ended","id":"a","reason":"overload"}"#;
/// let lines = explain("a", log);
/// assert_eq!(lines[0], "+0 ms entry-1 sent upstream=u");
/// assert_eq!(lines[1], "+4 ms entry-1 ended reason=overload");
/// ```
pub fn explain(id: &str, log: &str) -> Vec<String> {
    let lines: Vec<LogLine> = log.lines().filter_map(LogLine::parse).collect();
    let own: Vec<&LogLine> = lines.iter().filter(|line| line.field("id") == Some(id)).collect();
    let Some(first) = own.iter().map(|line| line.at).min() else {
        return Vec::new();
    };
    let last = own.iter().map(|line| line.at).max().unwrap_or(first);
    let nodes: BTreeSet<&str> = own.iter().map(|line| line.node.as_str()).collect();
    let upstreams: BTreeSet<&str> = own.iter().filter_map(|line| line.field("upstream")).collect();
    let concerns = |line: &&LogLine| {
        let timely = line.at + BEFORE_MS >= first && line.at <= last;
        let upstream = line.field("upstream").is_none_or(|name| upstreams.contains(name));
        line.field("id").is_none() && timely && nodes.contains(line.node.as_str()) && upstream
    };
    let mut shown: Vec<&LogLine> = lines.iter().filter(concerns).chain(own).collect();
    shown.sort_by_key(|line| line.at);
    shown.into_iter().map(|line| line.show(first)).collect()
}

/// Explains a request by saved log files.
pub(super) fn explain_files(id: &str, files: &[PathBuf]) -> Result<Vec<String>, CtlError> {
    let mut log = String::new();
    for file in files {
        let text = fs::read_to_string(file).map_err(|err| ParseError::File {
            path: file.display().to_string(),
            reason: err.to_string(),
        })?;
        log.push_str(&text);
        log.push('\n');
    }
    let lines = explain(id, &log);
    if lines.is_empty() { Err(CtlError::NotLogged) } else { Ok(lines) }
}

impl LogLine {
    /// Reads a line, whatever stands before its object.
    fn parse(text: &str) -> Option<Self> {
        let mut fields: Map<String, Value> = serde_json::from_str(&text[text.find('{')?..]).ok()?;
        let at = fields.remove("at")?.as_u64()?;
        let node = fields.remove("node")?.as_str()?.to_owned();
        let event = fields.remove("event")?.as_str()?.to_owned();
        fields.remove("level");
        Some(Self { at, node, event, fields })
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn show(&self, first: u64) -> String {
        let offset = i128::from(self.at) - i128::from(first);
        let mut line = format!("{offset:+} ms {} {}", self.node, self.event);
        for (name, value) in self.fields.iter().filter(|(name, _)| *name != "id") {
            let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            if !text.is_empty() && text != "null" {
                line.push_str(&format!(" {name}={text}"));
            }
        }
        line
    }
}

use std::collections::BTreeSet;
use std::fs;
use std::path::PathBuf;

use serde_json::{Map, Value};

use super::CtlError;
use crate::settings::ParseError;

/// Events without a request id are shown if they were logged while the request ran, or at most this
/// many milliseconds before its first line.
const BEFORE_MS: u64 = 5_000;

/// Field with the fingerprint that a request has each time that its caller sends it.
const FINGERPRINT: &str = "print";

/// Event that each refusal for crashes logs; those of other requests tell nothing new.
const REFUSED_BY_CRASHES: &str = "quarantined";

/// A line of a structured log.
#[derive(Clone, Debug, PartialEq)]
struct LogLine {
    /// Unix time in milliseconds.
    at: u64,
    node: String,
    event: String,
    fields: Map<String, Value>,
}

/// Returns the decisions about one request in saved logs, in order of time, together with other
/// events that the processes which handled the request logged shortly before and during it: about
/// settings, the platform, readiness and the upstreams that the request was sent to. Of crashes it
/// returns all that any process logged about requests with the same fingerprint until then.
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
    let request_lines: Vec<&LogLine> =
        lines.iter().filter(|line| line.field("id") == Some(id)).collect();
    let Some(first) = request_lines.iter().map(|line| line.at).min() else {
        return Vec::new();
    };
    let last = request_lines.iter().map(|line| line.at).max().unwrap_or(first);
    let nodes: BTreeSet<&str> = request_lines.iter().map(|line| line.node.as_str()).collect();
    let upstreams: BTreeSet<&str> =
        request_lines.iter().filter_map(|line| line.field("upstream")).collect();
    let fingerprints: BTreeSet<&str> =
        request_lines.iter().filter_map(|line| line.field(FINGERPRINT)).collect();
    let is_context = |line: &&LogLine| {
        if let Some(fingerprint) = line.field(FINGERPRINT) {
            let is_own = line.field("id") == Some(id);
            let is_telling = !is_own && line.event != REFUSED_BY_CRASHES;
            return is_telling && line.at <= last && fingerprints.contains(fingerprint);
        }
        let in_time = line.at + BEFORE_MS >= first && line.at <= last;
        let upstream = line.field("upstream").is_none_or(|name| upstreams.contains(name));
        line.field("id").is_none() && in_time && nodes.contains(line.node.as_str()) && upstream
    };
    let mut shown: Vec<&LogLine> = lines.iter().filter(is_context).chain(request_lines).collect();
    shown.sort_by_key(|line| line.at);
    shown.into_iter().map(|line| line.format(first)).collect()
}

/// Explains a request from saved log files.
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
    /// Parses a line. Text before the JSON object is skipped.
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

    /// Formats the line with its time relative to the request's first line.
    fn format(&self, first: u64) -> String {
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

use comfy_table::Table;
use comfy_table::presets::NOTHING;
use serde::Serialize;
use serde_json::json;

use crate::admin::{Accepted, Status};
use crate::entry::KeyState;
use crate::settings::{Change, RevisionRecord};

/// Maximum length of a value in a table.
const MAX_VALUE_CHARS: usize = 40;

pub(super) fn document<T: Serialize>(value: &T) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}

pub(super) fn done(json: bool, text: &str) {
    if json {
        document(&json!({ "result": text }));
    } else {
        println!("{text}");
    }
}

pub(super) fn accepted(json: bool, accepted: &Accepted) {
    if json {
        document(accepted);
    } else {
        println!("accepted as version {}, revision {}", accepted.version, accepted.revision);
    }
}

pub(super) fn changes(json: bool, changes: &[Change]) {
    if json {
        return document(&changes);
    }
    let side = |value: &Option<serde_json::Value>| {
        let text = value.as_ref().map_or_else(|| "absent".to_owned(), ToString::to_string);
        shorten(text)
    };
    let mut table = table(&["PLACE", "PRESENT", "FILE"]);
    for change in changes {
        table.add_row([change.place.clone(), side(&change.old), side(&change.new)]);
    }
    println!("{table}");
}

pub(super) fn revisions(json: bool, records: &[RevisionRecord]) {
    if json {
        return document(&records);
    }
    let mut table = table(&["REVISION", "VERSION", "OPERATOR", "CHANGE"]);
    for record in records {
        let (revision, version) = (record.revision.to_string(), record.version.to_string());
        table.add_row([revision, version, record.operator.clone(), record.change.clone()]);
    }
    println!("{table}");
}

pub(super) fn status(json: bool, status: &Status) {
    if json {
        return document(status);
    }
    println!("revision {}, ready {}, quarantined {}", status.revision, status.ready, status.held);
    let mut table =
        table(&["UPSTREAM", "SERVICE", "DOMAIN", "STATE", "REVISION", "RUNNING", "WAITING"]);
    for (name, member) in &status.upstreams {
        let state = match member {
            member if !member.linked => "unlinked",
            member if member.leaving => "leaving",
            member if !member.up => "down",
            _ => "up",
        };
        table.add_row([
            name.clone(),
            member.service.clone(),
            member.domain.clone(),
            state.to_owned(),
            member.revision.to_string(),
            member.load.running.to_string(),
            member.load.waiting.to_string(),
        ]);
    }
    println!("{table}");
}

pub(super) fn key_state(json: bool, state: &KeyState) {
    if json {
        return document(state);
    }
    match state {
        KeyState::Free => println!("no request with this key has started"),
        KeyState::Started { at } => {
            println!("started at Unix time {at}: still running, or its sidecar died");
        }
        KeyState::Ended { answer } => println!("ran, status {}", answer.status),
        KeyState::Unsettled => println!("ended without an answer, will never run again"),
    }
}

/// Shortens a value to fit a table; `--json` prints it in full.
fn shorten(text: String) -> String {
    if text.chars().count() <= MAX_VALUE_CHARS {
        return text;
    }
    text.chars().take(MAX_VALUE_CHARS).chain("...".chars()).collect()
}

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(NOTHING).set_header(header.iter().copied());
    table
}

/// Prints lines of text.
pub(super) fn lines(json: bool, lines: &[String]) {
    if json {
        println!("{}", serde_json::json!(lines));
    } else {
        lines.iter().for_each(|line| println!("{line}"));
    }
}

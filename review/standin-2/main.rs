//! Plays the cases of this review with the project's own programs as separate processes, against
//! small stand-ins for the store, the workers and the clients.
//!
//! `cases NAME RECORD DIR`: DIR is a temporary folder. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cold_return;
mod desk;
mod evacuated_zone;
mod fatal_request;
mod http;
mod json;
mod leaving_worker;
mod process;
mod record;
mod store;
mod turned_away;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, record, dir] = args.as_slice() else {
        eprintln!("cases NAME RECORD DIR");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(&PathBuf::from(record)) else {
        eprintln!("the record can't be written");
        return ExitCode::from(2);
    };
    let dir = PathBuf::from(dir);
    let verdict = match name.as_str() {
        "cold-return" => cold_return::play(&record, &dir, is_troubled),
        "evacuated-zone" => evacuated_zone::play(&record, &dir, is_troubled),
        "fatal-request" => fatal_request::play(&record, &dir, is_troubled),
        "leaving-worker" => leaving_worker::play(&record, &dir, is_troubled),
        "turned-away" => turned_away::play(&record, &dir, is_troubled),
        _ => Verdict::NotRun(format!("no case {name}")),
    };
    let code = match verdict {
        Verdict::Held => {
            record.say("the rule held");
            0
        }
        Verdict::Broken => {
            record.say("the rule was broken");
            1
        }
        Verdict::NotRun(reason) => {
            record.say(&format!("the case could not run: {reason}"));
            2
        }
    };
    record.flush();
    ExitCode::from(code)
}

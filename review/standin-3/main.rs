//! Plays the cases of this review with the project's own programs as separate processes, against small
//! stand-ins for the store, the workers and the clients. What is unchanged comes from `../standin-2`.
//!
//! `cases NAME RECORD DIR`: DIR is a temporary folder. Exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

#![allow(dead_code)]

mod desk;
#[path = "../standin-2/http.rs"]
mod http;
#[path = "../standin-2/json.rs"]
mod json;
mod keeper;
mod paired_copies;
#[path = "../standin-2/process.rs"]
mod process;
mod rank;
#[path = "../standin-2/record.rs"]
mod record;
mod silent_copies;
mod silent_leavers;
mod silent_ranks;
#[path = "../standin-2/store.rs"]
mod store;
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
        "paired-copies" => paired_copies::play(&record, &dir, is_troubled),
        "silent-copies" => silent_copies::play(&record, &dir, is_troubled),
        "silent-leavers" => silent_leavers::play(&record, &dir, is_troubled),
        "silent-ranks" => silent_ranks::play(&record, &dir, is_troubled),
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

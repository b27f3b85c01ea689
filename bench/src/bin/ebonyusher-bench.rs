//! Load tests and experiments.

use std::path::Path;
use std::process::ExitCode;

use ebonyusher::cli::{EXIT_INPUT, EXIT_REFUSED, exit_with, read_args};
use ebonyusher::settings::read_file;
use ebonyusher_bench::args::{Command, options};
use ebonyusher_bench::capacity::capacity_page;
use ebonyusher_bench::choice::measure_choice;
use ebonyusher_bench::slopes::{SlopeFile, measure_slopes};
use ebonyusher_bench::{expert, load};
use serde::Serialize;

const NAME: &str = "ebonyusher-bench";

#[tokio::main]
async fn main() -> ExitCode {
    let args = match read_args(options()) {
        Ok(args) => args,
        Err(code) => return code,
    };
    args.logs.start();
    match args.command {
        Command::Load(load) => match load::run(&load).await {
            Ok(report) => print_report(&report, report.holds()),
            Err(err) => exit_with(NAME, &err, EXIT_REFUSED),
        },
        Command::Slopes(only) => match measure_slopes(only).await {
            Ok(slopes) => print_report(&slopes, true),
            Err(err) => exit_with(NAME, &err, EXIT_REFUSED),
        },
        Command::MapOrders(seed) => {
            print!("{}", expert::order_costs(seed));
            ExitCode::SUCCESS
        }
        Command::Capacity(path) => print_page(&path),
        Command::Choice(upstreams) => print_report(&measure_choice(upstreams), true),
        Command::ExpertMap(map) => match expert::run(&map) {
            Ok(report) => print_report(&report, true),
            Err(err) => exit_with(NAME, &err, EXIT_INPUT),
        },
    }
}

/// Prints the capacity page from a file of slopes.
fn print_page(path: &Path) -> ExitCode {
    match read_file::<SlopeFile>(path) {
        Ok(slopes) => {
            print!("{}", capacity_page(&slopes));
            ExitCode::SUCCESS
        }
        Err(err) => exit_with(NAME, &err, EXIT_INPUT),
    }
}

/// Prints the report as one line of JSON.
fn print_report<T: Serialize>(report: &T, success: bool) -> ExitCode {
    println!("{}", serde_json::to_string(report).unwrap_or_default());
    if success { ExitCode::SUCCESS } else { ExitCode::from(EXIT_REFUSED) }
}

use std::fmt::Display;
use std::process::ExitCode;

use bpaf::{Args, OptionParser, ParseFailure};

/// Exit code if the request was understood and refused, if `diff` finds differences, or if
/// `explain` finds no line about the request.
pub const EXIT_REFUSED: u8 = 1;
/// Exit code if the command line or an input file is invalid.
pub const EXIT_INPUT: u8 = 2;
/// Exit code if the peer can't be reached or the process can't start.
pub const EXIT_UNREACHABLE: u8 = 3;

/// Column at which help texts are wrapped.
const TERMINAL_COLUMNS: usize = 100;

/// Prints in one line why a program ends, and returns its exit code.
pub fn exit_with(program: &str, reason: &impl Display, code: u8) -> ExitCode {
    eprintln!("{program}: {reason}");
    ExitCode::from(code)
}

/// Parses the command line. Prints help, version and parse errors.
///
/// # Errors
/// The exit code with which the program should end at once.
pub fn read_args<T>(options: OptionParser<T>) -> Result<T, ExitCode> {
    options.fallback_to_usage().run_inner(Args::current_args()).map_err(|failure| {
        failure.print_message(TERMINAL_COLUMNS);
        match failure {
            ParseFailure::Stderr(_) => ExitCode::from(EXIT_INPUT),
            ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
        }
    })
}

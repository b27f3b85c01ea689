use std::fmt::Display;
use std::process::ExitCode;

use bpaf::{Args, OptionParser, ParseFailure};

/// The request was understood and refused.
pub const EXIT_REFUSED: u8 = 1;
/// The input is at fault.
pub const EXIT_INPUT: u8 = 2;
/// The other side can't be reached.
pub const EXIT_UNREACHABLE: u8 = 3;

/// Columns that help texts are broken at.
const TERMINAL_COLUMNS: usize = 100;

/// Says in one line why a program ends, and gives its exit code.
pub fn exit_with(program: &str, reason: &impl Display, code: u8) -> ExitCode {
    eprintln!("{program}: {reason}");
    ExitCode::from(code)
}

/// Reads the command line. Help and version are printed, a fault is told in a line.
///
/// # Errors
/// The exit code that the program ends with at once.
pub fn read_args<T>(options: OptionParser<T>) -> Result<T, ExitCode> {
    options.fallback_to_usage().run_inner(Args::current_args()).map_err(|failure| {
        failure.print_message(TERMINAL_COLUMNS);
        match failure {
            ParseFailure::Stderr(_) => ExitCode::from(EXIT_INPUT),
            ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
        }
    })
}

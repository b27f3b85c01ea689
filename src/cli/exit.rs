use std::fmt::Display;
use std::process::ExitCode;

/// The request was understood and refused.
pub const EXIT_REFUSED: u8 = 1;
/// The input is at fault.
pub const EXIT_INPUT: u8 = 2;
/// The other side can't be reached.
pub const EXIT_UNREACHABLE: u8 = 3;

/// Says in one line why a program ends, and gives its exit code.
pub fn exit_with(program: &str, reason: &impl Display, code: u8) -> ExitCode {
    eprintln!("{program}: {reason}");
    ExitCode::from(code)
}

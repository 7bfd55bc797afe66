//! Line output to stdout that tolerates a closed pipe.

use std::fmt::Arguments;
use std::io::{ErrorKind, Write};

/// Writes a line to stdout. A closed pipe, as left by `head`, ends the process with exit code 0;
/// any other write error is reported on stderr.
pub fn print_line(line: Arguments<'_>) {
    let result = writeln!(std::io::stdout(), "{line}");
    match result {
        Err(error) if error.kind() == ErrorKind::BrokenPipe => std::process::exit(0),
        Err(error) => eprintln!("quetzalpin: {error}"),
        Ok(()) => {}
    }
}

/// Formats a line and writes it with [`print_line`].
macro_rules! outln {
    () => { crate::output::print_line(format_args!("")) };
    ($($arg:tt)*) => { crate::output::print_line(format_args!($($arg)*)) };
}

pub(crate) use outln;

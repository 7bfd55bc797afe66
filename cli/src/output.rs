//! Lines on standard output.

use std::fmt::Arguments;
use std::io::{ErrorKind, Write};

/// Prints a line. A reader that has gone away, such as `head`, ends the program in peace.
pub fn print_line(line: Arguments<'_>) {
    let written = writeln!(std::io::stdout(), "{line}");
    match written {
        Err(error) if error.kind() == ErrorKind::BrokenPipe => std::process::exit(0),
        Err(error) => eprintln!("quetzalpin: {error}"),
        Ok(()) => {}
    }
}

/// Prints a formatted line by [`print_line`].
macro_rules! say {
    () => { crate::output::print_line(format_args!("")) };
    ($($arg:tt)*) => { crate::output::print_line(format_args!($($arg)*)) };
}

pub(crate) use say;

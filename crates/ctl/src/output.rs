//! Standard output.

use std::{
    fmt,
    io::{self, Write},
    process,
};

/// The exit code of a program whose reader went away, as shells show it.
const BROKEN_PIPE_CODE: i32 = 141;

/// Prints one line.
///
/// The reader may go away, as `head` does after ten lines. `println!` would
/// panic then, and the operator would see a backtrace in place of the end.
pub(crate) fn write_line(text: fmt::Arguments<'_>) {
    if writeln!(io::stdout(), "{text}").is_err() {
        process::exit(BROKEN_PIPE_CODE);
    }
}

/// Prints one line, with the arguments of `println!`.
macro_rules! print_line {
    ($($argument:tt)*) => {
        crate::output::write_line(format_args!($($argument)*))
    };
}

pub(crate) use print_line;

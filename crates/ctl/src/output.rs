//! Printing to standard output.

use std::{
    fmt,
    io::{self, Write},
    process,
};

/// The exit code that shells report for a process that ended by SIGPIPE.
const BROKEN_PIPE_CODE: i32 = 141;

/// Prints one line.
///
/// The reader may close the pipe early, as `head` does after ten lines. `println!`
/// would then panic with a backtrace.
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

//! Consistency checks of the command-line parser.

use bpaf::Parser;
use ctl::command;

// A flag that is declared after a positional argument makes the parser panic, but only
// when that command is used.
#[test]
fn command_line_parser_invariants_hold() {
    command::parser().to_options().check_invariants(true);
}

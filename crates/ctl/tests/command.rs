//! The command line can be parsed as it is declared.

use bpaf::Parser;
use ctl::command;

// A flag declared behind a positional argument makes the parser panic, but only
// once somebody uses that command.
#[test]
fn command_line_parser_invariants_hold() {
    command::parser().to_options().check_invariants(true);
}

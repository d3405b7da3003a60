//! The entry point of `weirctl`.

use std::process;

use ctl::{
    client::Client,
    command::{self, Command},
    exit,
    exit::Error,
    local, run,
};

const ABOUT: &str = "Declares the resources of a fleet of routers and shows their state. \
The operator's token is read from the environment variable WEIR_TOKEN.
 Exit codes:
  0  done
  1  diff found differences
  2  faulty flag, file or change; nothing was changed
  3  unavailable; nothing was changed
  4  another change came first; nothing was changed
  5  outcome unknown; repeat with the same --id
  6  not found
  7  denied";

#[tokio::main(flavor = "current_thread")]
async fn main() -> process::ExitCode {
    let (client, command) = settings::load(ABOUT, command::parser(), |arguments, faults| {
        let address = match arguments.command {
            Command::Losses { .. } => return Some((None, arguments.command)),
            Command::Router { address }
            | Command::Rollouts { address }
            | Command::Parts { address, .. } => address,
            _ => faults.required(&arguments.admin, settings::ADDRESS)?,
        };
        let token = arguments.token.as_str().map(String::from);
        Some((Some(Client::new(address, token)), arguments.command))
    });
    let result = match client {
        Some(client) => run::run(&client, command).await,
        None => local::run(command),
    };
    match result {
        Ok(code) => exit_with(code),
        Err(error) => fail(&error),
    }
}

fn fail(error: &Error) -> process::ExitCode {
    eprintln!("weirctl: {error}");
    exit_with(error.code)
}

fn exit_with(code: exit::Code) -> process::ExitCode {
    process::ExitCode::from(code as u8)
}

//! The entry point of `weir-admin`.

use std::{
    fs,
    io::{self, Write},
    net,
};

use admin::{access, process, settings::Settings};
use bpaf::{Parser, construct};
use error_stack::{Report, ResultExt};
use tokio::signal::unix;
use units::size::Megabytes;

const ABOUT: &str = "Serves the administration API of a fleet of routers. Operators may also be \
given in the environment variable WEIR_OPERATORS, as NAME:ROLE:HASH,...";

/// The least memory with which the administration starts: a few times what an idle process takes.
const MIN_MEMORY: Megabytes = Megabytes(32);
/// The most memory that a host may have, so that its number of bytes is one of the machine.
const MAX_MEMORY: Megabytes = Megabytes(1024 * 1024);

/// The raw command-line arguments and environment variables before validation.
struct Arguments {
    listen: settings::Raw,
    platform: settings::Raw,
    routers: settings::Raw,
    host: settings::Raw,
    operators: settings::Raw,
    operators_file: settings::Raw,
    memory: settings::Raw,
}

/// The error of an administration that could not start.
#[derive(Debug)]
struct StartError;

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("weir-admin could not start")
    }
}

impl std::error::Error for StartError {}

#[tokio::main]
async fn main() -> Result<(), Report<StartError>> {
    let settings = settings::load(ABOUT, arguments(), validate);
    logging::init("weir-admin");
    let process = process::start(&settings).await.change_context(StartError)?;
    print_address(process.address()).change_context(StartError)?;
    wait_for_signal().await.change_context(StartError)?;
    process.stop().await;
    logging::event!(info, "stopped");
    Ok(())
}

/// Prints the bound address as one line on standard output, for scripts.
fn print_address(address: net::SocketAddr) -> io::Result<()> {
    let mut output = io::stdout().lock();
    writeln!(output, "listening={address}")?;
    output.flush()?;
    logging::event!(info, "started", listening = address);
    Ok(())
}

/// Waits for SIGINT or SIGTERM.
async fn wait_for_signal() -> io::Result<()> {
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}

fn arguments() -> impl Parser<Arguments> {
    let listen = settings::text("listen", "WEIR_LISTEN", "IP:PORT", "Address to listen on");
    let platform = settings::text(
        "platform",
        "WEIR_PLATFORM",
        "IP:PORT",
        "Address of the platform",
    );
    let routers = settings::text(
        "routers",
        "WEIR_ROUTERS",
        "IP:PORT,...",
        "Caller addresses of some routers, which report the state of the others",
    );
    let host = settings::text(
        "host",
        "WEIR_HOST",
        "NAME",
        "Name of this host, shown as the holder of the lease while it sends orders to engines",
    );
    let operators = settings::secret("WEIR_OPERATORS");
    let operators_file = settings::text(
        "operators-file",
        "WEIR_OPERATORS_FILE",
        "FILE",
        "A file of operators, one a line: NAME:ROLE:HASH, with the role read or write and the BLAKE3 hash of the token in hex",
    );
    let addresses = construct!(listen, platform, routers, host).group_help("Addresses:");
    let memory = settings::text(
        "memory-mb",
        "WEIR_MEMORY_MB",
        "MB",
        "Memory of the process, in megabytes",
    );
    let access = construct!(operators, operators_file).group_help("Operators:");
    construct!(addresses, access, memory).map(|(addresses, access, memory)| {
        let (listen, platform, routers, host) = addresses;
        let (operators, operators_file) = access;
        Arguments {
            listen,
            platform,
            routers,
            host,
            operators,
            operators_file,
            memory,
        }
    })
}

fn validate(arguments: Arguments, faults: &mut settings::Faults) -> Option<Settings> {
    let defaults = Settings::default();
    let listen = faults.or_default(&arguments.listen, defaults.listen, settings::ADDRESS);
    let platform = faults.required(&arguments.platform, settings::ADDRESS);
    let routers = routers(&arguments.routers, faults);
    let host = faults.optional(
        &arguments.host,
        "1 to 64 of a-z, A-Z, 0-9, '.', '_' and '-'",
    );
    let operators = operators(&arguments, faults);
    if let (Some(listen), Some(operators)) = (listen, &operators)
        && !operators.may_listen_on(listen)
    {
        faults.add(
            &arguments.listen,
            "a loopback address, unless operators are set",
        );
    }
    let memory = faults.within(&arguments.memory, defaults.memory, MIN_MEMORY..=MAX_MEMORY);
    Some(Settings {
        memory: memory?,
        listen: listen?,
        platform: platform?,
        routers: routers?,
        host: host?,
        operators: operators?,
        ..defaults
    })
}

fn routers(raw: &settings::Raw, faults: &mut settings::Faults) -> Option<Vec<net::SocketAddr>> {
    let text = raw.as_str().unwrap_or_default();
    let parts = text.split(',').map(str::trim);
    let parts = parts.filter(|part| !part.is_empty());
    let parsed: Result<_, _> = parts.map(str::parse).collect();
    if parsed.is_err() {
        faults.add(raw, "addresses IP:PORT, separated by commas");
    }
    parsed.ok()
}

fn operators(arguments: &Arguments, faults: &mut settings::Faults) -> Option<access::Operators> {
    let mut text = String::from(arguments.operators.as_str().unwrap_or_default());
    if let Some(file) = arguments.operators_file.as_str() {
        match fs::read_to_string(file) {
            Ok(read) => {
                text.push('\n');
                text.push_str(&read);
            }
            Err(_) => faults.add(&arguments.operators_file, "a file that can be read"),
        }
    }
    match text.parse() {
        Ok(operators) => Some(operators),
        Err(invalid) => {
            faults.add(&arguments.operators, &access::Invalid::to_string(&invalid));
            None
        }
    }
}

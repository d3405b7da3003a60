//! Process handling shared by all stand-ins.

use std::{
    io::{self, Write},
    net::SocketAddr,
    time::Duration,
};

use tokio::{signal::unix, time};

/// Prints the bound address as one line on standard output, for scripts to read.
///
/// # Errors
///
/// Returns the error if standard output cannot be written.
pub fn announce(address: SocketAddr) -> io::Result<()> {
    let mut output = io::stdout().lock();
    writeln!(output, "listening={address}")?;
    output.flush()?;
    logging::event!(info, "started", listening = address);
    Ok(())
}

/// Waits for SIGINT or SIGTERM.
///
/// # Errors
///
/// Returns the error if a signal handler cannot be registered.
pub async fn wait_for_signal() -> io::Result<()> {
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    logging::event!(info, "stopped");
    Ok(())
}

/// Sleeps for `duration`; returns at once if it is zero.
///
/// The timer of `tokio` has a resolution of one millisecond and rounds up, even from zero, so
/// an engine with a token interval of zero would otherwise wait for each token.
pub(crate) async fn pause(duration: Duration) {
    if !duration.is_zero() {
        time::sleep(duration).await;
    }
}

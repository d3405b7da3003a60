//! What the stand-ins' processes have in common.

use std::{
    io::{self, Write},
    net::SocketAddr,
    time::Duration,
};

use tokio::{signal::unix, time};

/// Tells scripts the bound address, as one line on standard output.
///
/// # Errors
///
/// The error of the write.
pub fn announce(address: SocketAddr) -> io::Result<()> {
    let mut output = io::stdout().lock();
    writeln!(output, "listening={address}")?;
    output.flush()?;
    logging::event!(info, "started", listening = address);
    Ok(())
}

/// Waits for a signal that asks the process to end.
///
/// # Errors
///
/// The error of the registration of a handler.
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

/// Waits for `duration`, and not at all if it is zero.
///
/// The timer of `tokio` has whole milliseconds and rounds up, also from zero. An
/// engine that is to take no time would take some for each token.
pub(crate) async fn pause(duration: Duration) {
    if !duration.is_zero() {
        time::sleep(duration).await;
    }
}

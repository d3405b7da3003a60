//! Watches the states of resources.

use config::{response::List, state::State};
use tokio::time::{self, Instant};

use crate::{
    client::Client,
    command::Output,
    exit::{Code, Error},
    render,
};

/// Interval between two reads of the list.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Prints state changes as they occur. With `until_rolled_out`, stops when all resources
/// are in force or withdrawn.
///
/// # Errors
///
/// [`Code::Unavailable`] if `deadline` passes first, or the error of a read that failed
/// for another reason than an outage.
pub(crate) async fn run(
    client: &Client,
    until_rolled_out: bool,
    deadline: Option<Instant>,
    output: Output,
) -> Result<Code, Error> {
    let mut previous: Option<List> = None;
    loop {
        match client.list().await {
            Ok(list) => {
                render::changes(previous.as_ref(), &list, output);
                if until_rolled_out && is_rolled_out(&list) {
                    return Ok(Code::Success);
                }
                previous = Some(list);
            }
            // Outages are temporary, so watching continues through them.
            Err(error) if error.code == Code::Unavailable => eprintln!("weirctl: {error}"),
            Err(error) => return Err(error),
        }
        if deadline.is_some_and(|deadline| Instant::now() >= deadline) {
            let message = "timed out before all changes were in force";
            return Err(Error::new(Code::Unavailable, message));
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

fn is_rolled_out(list: &List) -> bool {
    let declared = list.resources.iter().map(|listed| listed.state);
    let removed = list.removed.iter().map(|removed| removed.state);
    list.pending.is_empty()
        && declared
            .chain(removed)
            .all(|state| matches!(state, State::InForce | State::Withdrawn))
}

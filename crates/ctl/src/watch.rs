//! Follows the states of resources.

use config::{answer::List, state::State};
use tokio::time::{self, Instant};

use crate::{
    client::Client,
    command::Output,
    exit::{Code, Error},
    render,
};

/// The time between two looks.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Prints changes of state as they come, until all is settled if `until_settled`.
///
/// # Errors
///
/// [`Code::Unavailable`] when `deadline` comes first, or a refusal that does not pass.
pub(crate) async fn run(
    client: &Client,
    until_settled: bool,
    deadline: Option<Instant>,
    output: Output,
) -> Result<Code, Error> {
    let mut previous: Option<List> = None;
    loop {
        match client.list().await {
            Ok(list) => {
                render::changes(previous.as_ref(), &list, output);
                if until_settled && is_settled(&list) {
                    return Ok(Code::Success);
                }
                previous = Some(list);
            }
            // An outage passes; whoever watches wants to see what comes after it.
            Err(error) if error.code == Code::Unavailable => eprintln!("weirctl: {error}"),
            Err(error) => return Err(error),
        }
        if deadline.is_some_and(|deadline| Instant::now() >= deadline) {
            let message = "not everything is in force";
            return Err(Error::new(Code::Unavailable, message));
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

fn is_settled(list: &List) -> bool {
    let declared = list.resources.iter().map(|listed| listed.state);
    let removed = list.removed.iter().map(|removed| removed.state);
    list.pending.is_empty()
        && declared
            .chain(removed)
            .all(|state| matches!(state, State::InForce | State::Withdrawn))
}

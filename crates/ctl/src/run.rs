//! Execution of commands.

use config::{
    key,
    proposal::Proposal,
    resource::{Drain, Resource, Zone},
    response::{Accepted, List},
};
use tokio::time::{Duration, Instant};
use units::{backend, revision};

use crate::{
    change,
    client::Client,
    command::{Command, Output},
    exit::{Code, Error},
    input, local,
    output::print_line,
    render, watch,
};

/// Runs `command` and returns its exit code.
///
/// # Errors
///
/// [`Error`] with the exit code and the message for the operator.
pub async fn run(client: &Client, command: Command) -> Result<Code, Error> {
    match command {
        Command::Apply {
            file,
            prune,
            id,
            output,
        } => {
            let proposal = file_difference(client, &file, prune, id).await?.1;
            propose(client, proposal, output).await
        }
        Command::Diff { file, prune } => {
            let (list, proposal) = file_difference(client, &file, prune, None).await?;
            Ok(show_difference(&list, &proposal))
        }
        Command::Get { output, key } => {
            render::resource(&client.get(&key).await?, output);
            Ok(Code::Success)
        }
        Command::List { output, kind } => list(client, kind, output).await,
        Command::Delete { id, output, keys } => {
            let list = client.list().await?;
            propose(client, change::deletion(&list, keys, id), output).await
        }
        Command::Drain { id, output, server } => {
            let drain = Resource::Drain(Drain { name: server });
            propose(client, change::single(drain, id), output).await
        }
        Command::Undrain { id, output, server } => {
            let proposal = undrain(client, server, id).await?;
            propose(client, proposal, output).await
        }
        Command::Zone {
            id,
            output,
            service,
            zone: name,
        } => {
            let zone = Resource::Zone(Zone { name, service });
            propose(client, change::single(zone, id), output).await
        }
        Command::History {
            from,
            limit,
            output,
        } => {
            render::history(&client.history(from, limit).await?, output);
            Ok(Code::Success)
        }
        Command::Watch {
            until_in_force,
            timeout,
            output,
        } => {
            let deadline = timeout.map(|seconds| Instant::now() + Duration::from_secs(seconds));
            watch::run(client, until_in_force, deadline, output).await
        }
        Command::Status { output } => {
            render::status(&client.status().await?, output);
            Ok(Code::Success)
        }
        Command::Order { output, order } => {
            render::ordered(&client.order(&order).await?, output);
            Ok(Code::Success)
        }
        Command::Router { .. } => {
            print_line!("{}", client.page("/status").await?.trim_end());
            Ok(Code::Success)
        }
        Command::Rollouts { .. } => {
            print_line!("{}", client.page("/rollouts").await?.trim_end());
            Ok(Code::Success)
        }
        Command::Parts { lift: None, .. } => {
            print_line!("{}", client.page("/parts").await?.trim_end());
            Ok(Code::Success)
        }
        Command::Parts {
            lift: Some(parts), ..
        } => {
            print_line!("{}", client.lift(&parts).await?.trim_end());
            Ok(Code::Success)
        }
        Command::Hash => {
            print_line!("{}", input::hash()?);
            Ok(Code::Success)
        }
        Command::Losses { .. } => local::run(command),
    }
}

/// Returns the declared resources and the change that makes them match the file.
async fn file_difference(
    client: &Client,
    file: &str,
    prune: bool,
    id: Option<units::change::Id>,
) -> Result<(List, Proposal), Error> {
    let desired = input::resources(file)?;
    let list = client.list().await?;
    let proposal = change::difference(&list, desired, prune, id);
    Ok((list, proposal))
}

async fn list(client: &Client, kind: Option<key::Type>, output: Output) -> Result<Code, Error> {
    let is_selected = |key: &key::Key| kind.is_none_or(|kind| key.kind() == kind);
    let mut list = client.list().await?;
    list.resources
        .retain(|listed| is_selected(&listed.resource.key()));
    list.removed.retain(|removed| is_selected(&removed.key));
    render::list(&list, output);
    Ok(Code::Success)
}

/// Returns the change that ends the drain of `server`, empty if it is not drained.
async fn undrain(
    client: &Client,
    server: backend::Server,
    id: Option<units::change::Id>,
) -> Result<Proposal, Error> {
    let key = Resource::Drain(Drain { name: server }).key();
    let list = client.list().await?;
    let is_drained = change::generation(&list, &key) != revision::Generation::default();
    let deletes = is_drained.then_some(key).into_iter().collect();
    Ok(change::deletion(&list, deletes, id))
}

async fn propose(client: &Client, proposal: Proposal, output: Output) -> Result<Code, Error> {
    if proposal.puts.is_empty() && proposal.deletes.is_empty() {
        print_line!("unchanged");
        return Ok(Code::Success);
    }
    let accepted: Accepted = client
        .propose(&proposal)
        .await
        .map_err(|error| add_retry_hint(error, &proposal.id))?;
    render::accepted(&accepted, &proposal, output);
    Ok(Code::Success)
}

/// Adds the id with which to repeat a change to an error of unknown outcome.
fn add_retry_hint(error: Error, id: &units::change::Id) -> Error {
    if error.code != Code::Unknown {
        return error;
    }
    let message = format!(
        "{}\n  to learn the outcome, repeat the command with --id {id}",
        error.message
    );
    Error::new(Code::Unknown, message)
}

fn show_difference(list: &List, proposal: &Proposal) -> Code {
    for resource in &proposal.puts {
        let key = resource.key();
        let declared = list
            .resources
            .iter()
            .find(|declared| declared.resource.key() == key);
        render::difference(declared.map(|declared| &declared.resource), resource);
    }
    for key in &proposal.deletes {
        print_line!("- {key}");
    }
    if proposal.puts.is_empty() && proposal.deletes.is_empty() {
        print_line!("no differences");
        return Code::Success;
    }
    Code::Different
}

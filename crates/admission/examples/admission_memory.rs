//! Prints the memory used per queued ticket, workspace and expected output length.

use std::{fs, hint, time::Duration};

use admission::{OutputLengths, Server, Settings, Standing, Ticket};
use units::{
    cost::Cost,
    request::{Attempt, Priority},
    time::Instant,
};

/// Resident set size of the process in bytes.
fn resident() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("a proc file system");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes.expect("a size").parse::<u64>().expect("a number") * 1024
}

fn server(tickets: u64, workspaces: u64) -> Server {
    let now = Instant::from_millis(1000);
    let settings = Settings {
        max_queued: usize::MAX,
        max_queued_per_workspace: usize::MAX,
        initial_run_time_per_cost: Duration::ZERO,
        ..Settings::default()
    };
    let mut server = Server::new(settings, now);
    for attempt in 0..tickets {
        let ticket = Ticket {
            attempt: Attempt(attempt),
            workspace: format!("workspace-{}", attempt % workspaces)
                .parse()
                .expect("a valid name"),
            cost: Cost(500),
            priority: Priority::Normal,
            standing: Standing::Clear,
            deadline: Instant::NEVER,
        };
        server.offer(ticket, now);
    }
    server
}

fn main() {
    let before = resident();
    let tickets = 200_000;
    let few = server(tickets, 10);
    let queued = resident() - before;
    println!("ticket_bytes={}", queued / tickets);
    let before = resident();
    let many = server(tickets, tickets);
    let bytes = (resident() - before).saturating_sub(queued) / tickets;
    println!("workspace_bytes={bytes}");
    let before = resident();
    let mut lengths: Vec<OutputLengths> = Vec::new();
    for _ in 0..50 {
        let mut each = OutputLengths::new(Cost(300));
        for number in 0..4000 {
            let workspace = format!("workspace-{number}").parse().expect("a valid name");
            each.record(&workspace, "chat", Cost(200));
        }
        lengths.push(each);
    }
    println!("length_bytes={}", (resident() - before) / (50 * 4000));
    println!("server_bytes={}", std::mem::size_of::<Server>());
    hint::black_box((few, many, lengths));
}

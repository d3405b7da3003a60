//! Time of one admission by number of queued tickets and of workspaces.

use std::{collections::VecDeque, hint, time::Duration};

use admission::{Action, Decision, Handover, Outcome, Report, Server, Settings, Standing, Ticket};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use units::{
    cost::Cost,
    request::{Attempt, Priority},
    time::Instant,
    workspace,
};

const MAX_RUNNING: u64 = 48;

fn workspace_ids(count: usize) -> Vec<workspace::Id> {
    let name = |number: usize| format!("workspace-{number}").parse().expect("a valid name");
    (0..count).map(name).collect()
}

struct LoadedServer {
    server: Server,
    workspaces: Vec<workspace::Id>,
    now: Instant,
    next_attempt: u64,
    running: VecDeque<Attempt>,
}

impl LoadedServer {
    /// Creates a server at its limit, with `queued` tickets of `workspaces`
    /// workspaces.
    fn new(queued: usize, workspaces: usize) -> Self {
        let now = Instant::from_millis(1000);
        let settings = Settings {
            max_concurrency: MAX_RUNNING as u32,
            max_queued: 1 << 20,
            max_queued_per_workspace: 1 << 20,
            initial_run_time_per_cost: Duration::from_nanos(1),
            ..Settings::default()
        };
        let mut server = Server::new(settings, now);
        server.apply_handover(
            Handover {
                limit: 64,
                in_flight: 0,
            },
            now,
        );
        let workspaces = workspace_ids(workspaces);
        let mut loaded = Self {
            server,
            workspaces,
            now,
            next_attempt: 0,
            running: VecDeque::new(),
        };
        for _ in 0..MAX_RUNNING as usize + queued {
            loaded.offer();
        }
        loaded
    }

    fn offer(&mut self) {
        let ticket = Ticket {
            attempt: Attempt(self.next_attempt),
            workspace: self.workspaces[self.next_attempt as usize % self.workspaces.len()].clone(),
            cost: Cost(100 + self.next_attempt % 900),
            priority: Priority::Normal,
            standing: Standing::Clear,
            deadline: Instant::NEVER,
        };
        let attempt = ticket.attempt;
        self.next_attempt += 1;
        let offered = hint::black_box(self.server.offer(ticket, self.now));
        if offered.decision == Decision::Admitted {
            self.running.push_back(attempt);
        }
    }

    /// Finishes a request, so that another is admitted, and queues a new one.
    fn finish_and_offer(&mut self) {
        let now = self.now;
        let outcome = Outcome::Completed {
            first_token_at: now,
            ended_at: now,
        };
        let oldest = self.running.pop_front().expect("the server is busy");
        for action in self.server.finish(oldest, outcome, now) {
            if let Action::Admit(attempt) = action {
                self.running.push_back(attempt);
            }
        }
        self.offer();
    }
}

fn admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission");
    for queued in [0, 100, 1000, 10_000] {
        let mut loaded = LoadedServer::new(queued, 100);
        group.bench_function(BenchmarkId::new("queued", queued), |bencher| {
            bencher.iter(|| loaded.finish_and_offer());
        });
    }
    for workspaces in [1, 10, 100, 970] {
        let mut loaded = LoadedServer::new(1000, workspaces);
        group.bench_function(BenchmarkId::new("workspaces", workspaces), |bencher| {
            bencher.iter(|| loaded.finish_and_offer());
        });
    }
    let mut loaded = LoadedServer::new(1000, 100);
    let mut seq = 0;
    group.bench_function("report", |bencher| {
        bencher.iter(|| {
            seq += 1;
            let running = MAX_RUNNING as u32;
            let report = Report {
                boot: 1,
                seq,
                running,
                waiting: 0,
                capacity: 64,
            };
            loaded.server.report(report, loaded.now)
        });
    });
    group.finish();
}

criterion_group!(benches, admission);
criterion_main!(benches);

//! Fair queue over workspaces.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use units::{cost::Cost, request, time::Instant, workspace};

use crate::Ticket;

/// Virtual time per token of cost at weight one, so that division by a weight
/// keeps its precision.
const VIRTUAL_TIME_SCALE: u64 = 1 << 10;
/// The most cost that one ticket is charged, so that virtual time cannot overflow.
const MAX_CHARGED_COST: u64 = 1 << 32;
const PRIORITY_COUNT: usize = 3;

/// The order of tickets within a workspace: first the instant that orders them,
/// then the order of arrival.
type Rank = (Instant, u64);

/// A ticket that waits.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The ticket.
    pub ticket: Ticket,
    /// The last instant at which starting it still makes sense.
    pub latest_start: Instant,
}

/// The tickets of one workspace.
#[derive(Clone, Debug)]
struct Flow {
    workspace: workspace::Id,
    weight: u64,
    /// The virtual start of its next ticket.
    virtual_start: u64,
    waiting: BTreeMap<Rank, Waiting>,
    costs: [Cost; PRIORITY_COUNT],
}

impl Flow {
    fn charge(&self, cost: Cost) -> u64 {
        cost.0.clamp(1, MAX_CHARGED_COST) * VIRTUAL_TIME_SCALE / self.weight
    }
}

#[derive(Clone, Copy, Debug)]
struct Position {
    flow: usize,
    rank: Rank,
    latest_start: Instant,
}

/// Start-time fair queue over workspaces, by cost and weight.
///
/// The workspace with the least virtual start is served next; serving it moves
/// its virtual start on by cost over weight. A workspace that was idle starts
/// at the present virtual time, so it neither saves up a claim nor waits behind
/// a backlog of others. Every operation takes time logarithmic in the number
/// of tickets and workspaces.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    flows: Vec<Flow>,
    free_flows: Vec<usize>,
    flow_by_workspace: BTreeMap<workspace::Id, usize>,
    weights: BTreeMap<workspace::Id, u32>,
    /// Workspaces with tickets by virtual start.
    backlogged: BTreeSet<(u64, usize)>,
    /// Workspaces without tickets whose charge lies in the virtual future.
    idle: BTreeSet<(u64, usize)>,
    /// Workspaces with tickets by their number.
    by_length: BTreeSet<(usize, usize)>,
    positions: BTreeMap<request::Attempt, Position>,
    expiry: BTreeSet<(Instant, request::Attempt)>,
    virtual_time: u64,
    next_arrival: u64,
    cost: Cost,
    backlogged_weight: u64,
}

impl Queue {
    /// Sets the weights of workspaces; the others have weight one.
    pub fn set_weights(&mut self, weights: BTreeMap<workspace::Id, u32>) {
        self.weights = weights;
        for flow in 0..self.flows.len() {
            let weight = self.weight_of(&self.flows[flow].workspace);
            if !self.flows[flow].waiting.is_empty() {
                self.backlogged_weight = self.backlogged_weight - self.flows[flow].weight + weight;
            }
            self.flows[flow].weight = weight;
        }
    }

    /// Tickets that wait.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no ticket waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// The cost of the tickets that wait.
    pub fn cost(&self) -> Cost {
        self.cost
    }

    /// Whether the ticket of `attempt` waits.
    pub fn contains(&self, attempt: request::Attempt) -> bool {
        self.positions.contains_key(&attempt)
    }

    /// Tickets of `workspace` that wait.
    pub fn len_of(&self, workspace: &workspace::Id) -> usize {
        let flow = self.flow_by_workspace.get(workspace);
        flow.map_or(0, |&flow| self.flows[flow].waiting.len())
    }

    /// The cost of the tickets of `workspace` that wait.
    pub fn cost_of(&self, workspace: &workspace::Id) -> Cost {
        let flow = self.flow_by_workspace.get(workspace);
        flow.map_or(Cost(0), |&flow| {
            self.flows[flow].costs.iter().copied().sum()
        })
    }

    /// The cost that is served before a ticket of `workspace` offered now.
    pub fn cost_ahead(&self, workspace: &workspace::Id, priority: request::Priority) -> Cost {
        let Some(&flow) = self.flow_by_workspace.get(workspace) else {
            return self.cost_served_within(0, self.weight_of(workspace));
        };
        let flow = &self.flows[flow];
        let own_cost: Cost = flow.costs[priority as usize..].iter().copied().sum();
        let virtual_start = flow.virtual_start.saturating_sub(self.virtual_time);
        let idle = flow.waiting.is_empty();
        let joining_weight = if idle { flow.weight } else { 0 };
        self.cost_served_within(
            virtual_start + own_cost.0 * VIRTUAL_TIME_SCALE / flow.weight,
            joining_weight,
        )
    }

    /// The cost that all workspaces get while virtual time goes on by `virtual_wait`.
    fn cost_served_within(&self, virtual_wait: u64, joining_weight: u64) -> Cost {
        let weight = u128::from(self.backlogged_weight + joining_weight);
        let served = u128::from(virtual_wait) * weight / u128::from(VIRTUAL_TIME_SCALE);
        // Each workspace that is ahead by a fraction may get one ticket first.
        let head_allowance = self.mean_cost() * self.backlogged.len() as u64;
        let served = u64::try_from(served).unwrap_or(u64::MAX);
        self.cost.min(Cost(served.saturating_add(head_allowance)))
    }

    fn mean_cost(&self) -> u64 {
        self.cost.0 / (self.positions.len().max(1) as u64)
    }

    /// Charges a workspace for a ticket that did not wait in this queue.
    pub fn charge(&mut self, workspace: &workspace::Id, cost: Cost) {
        let flow = self.flow(workspace);
        self.unlink(flow);
        let virtual_start = self.flows[flow].virtual_start.max(self.virtual_time);
        if self.is_empty() {
            self.virtual_time = virtual_start;
        }
        self.flows[flow].virtual_start = virtual_start + self.flows[flow].charge(cost);
        self.link(flow);
        self.remove_settled();
    }

    /// Adds a ticket. A lower priority orders it `step` later for each step.
    pub fn push(&mut self, waiting: Waiting, step: Duration, now: Instant) {
        let flow = self.flow(&waiting.ticket.workspace);
        let ticket = &waiting.ticket;
        let priority_steps = request::Priority::Interactive as u32 - ticket.priority as u32;
        let rank = (now + step * priority_steps, self.next_arrival);
        let position = Position {
            flow,
            rank,
            latest_start: waiting.latest_start,
        };
        self.next_arrival += 1;
        self.unlink(flow);
        self.cost += ticket.cost;
        self.positions.insert(ticket.attempt, position);
        self.expiry.insert((position.latest_start, ticket.attempt));
        let virtual_start = self.flows[flow].virtual_start.max(self.virtual_time);
        self.flows[flow].virtual_start = virtual_start;
        self.flows[flow].costs[ticket.priority as usize] += ticket.cost;
        self.flows[flow].waiting.insert(rank, waiting);
        self.link(flow);
    }

    /// The next ticket of each workspace, in the order in which they are served.
    pub fn heads(&self) -> impl Iterator<Item = &Waiting> {
        let flows = self.backlogged.iter().map(|&(_, flow)| &self.flows[flow]);
        flows.filter_map(|flow| flow.waiting.values().next())
    }

    /// Takes a ticket to serve it, and charges its workspace.
    pub fn serve(&mut self, attempt: request::Attempt) -> Option<Waiting> {
        let flow = self.positions.get(&attempt)?.flow;
        let virtual_start = self.flows[flow].virtual_start;
        self.virtual_time = self.virtual_time.max(virtual_start);
        let waiting = self.detach(attempt)?;
        self.unlink(flow);
        self.flows[flow].virtual_start =
            virtual_start + self.flows[flow].charge(waiting.ticket.cost);
        self.link(flow);
        self.remove_settled();
        Some(waiting)
    }

    /// Takes a ticket out without serving it.
    pub fn remove(&mut self, attempt: request::Attempt) -> Option<Waiting> {
        let waiting = self.detach(attempt)?;
        self.remove_settled();
        Some(waiting)
    }

    /// Takes the next ticket whose latest start has passed.
    pub fn pop_expired(&mut self, now: Instant) -> Option<Waiting> {
        let &(latest_start, attempt) = self.expiry.first()?;
        if latest_start > now {
            return None;
        }
        self.remove(attempt)
    }

    /// When the next ticket expires.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiry.first().map(|&(instant, _)| instant)
    }

    /// Takes the last ticket of the workspace that has the most, if that is
    /// more than `workspace` would have with one more.
    pub fn pop_from_longest(&mut self, workspace: &workspace::Id) -> Option<Waiting> {
        let &(length, flow) = self.by_length.last()?;
        if length <= self.len_of(workspace) + 1 {
            return None;
        }
        let last = self.flows[flow].waiting.values().next_back()?;
        self.remove(last.ticket.attempt)
    }

    /// Takes the tickets out for which `predicate` holds, given the cost that is
    /// served before each.
    pub fn extract_if(&mut self, predicate: impl Fn(&Waiting, Cost) -> bool) -> Vec<Waiting> {
        let mut matching = Vec::new();
        for &(virtual_start, flow) in &self.backlogged {
            let flow = &self.flows[flow];
            let mut virtual_wait = virtual_start.saturating_sub(self.virtual_time);
            for waiting in flow.waiting.values() {
                if predicate(waiting, self.cost_served_within(virtual_wait, 0)) {
                    matching.push(waiting.ticket.attempt);
                } else {
                    virtual_wait += flow.charge(waiting.ticket.cost);
                }
            }
        }
        let removed = matching.into_iter();
        removed.filter_map(|attempt| self.remove(attempt)).collect()
    }

    /// Forgets all charges, when the server is idle and nobody has to wait.
    pub fn forget_charges(&mut self) {
        if self.is_empty() {
            self.virtual_time = self.idle.last().map_or(self.virtual_time, |last| last.0);
            self.remove_settled();
        }
    }

    /// The weight of a workspace.
    pub fn weight_of(&self, workspace: &workspace::Id) -> u64 {
        let weight = self.weights.get(workspace).copied().unwrap_or(1);
        u64::from(weight.max(1))
    }

    fn flow(&mut self, workspace: &workspace::Id) -> usize {
        if let Some(&flow) = self.flow_by_workspace.get(workspace) {
            return flow;
        }
        let new = Flow {
            workspace: workspace.clone(),
            weight: self.weight_of(workspace),
            virtual_start: self.virtual_time,
            waiting: BTreeMap::new(),
            costs: [Cost(0); PRIORITY_COUNT],
        };
        let flow = match self.free_flows.pop() {
            Some(flow) => {
                self.flows[flow] = new;
                flow
            }
            None => {
                self.flows.push(new);
                self.flows.len() - 1
            }
        };
        self.flow_by_workspace.insert(workspace.clone(), flow);
        flow
    }

    fn detach(&mut self, attempt: request::Attempt) -> Option<Waiting> {
        let position = self.positions.remove(&attempt)?;
        self.expiry.remove(&(position.latest_start, attempt));
        self.unlink(position.flow);
        let flow = &mut self.flows[position.flow];
        let waiting = flow.waiting.remove(&position.rank)?;
        flow.costs[waiting.ticket.priority as usize] -= waiting.ticket.cost;
        self.cost -= waiting.ticket.cost;
        self.link(position.flow);
        Some(waiting)
    }

    /// Takes a workspace out of the orders before it changes.
    fn unlink(&mut self, flow: usize) {
        let Flow {
            virtual_start,
            waiting,
            weight,
            ..
        } = &self.flows[flow];
        if waiting.is_empty() {
            self.idle.remove(&(*virtual_start, flow));
        } else {
            self.backlogged_weight -= weight;
            self.backlogged.remove(&(*virtual_start, flow));
            self.by_length.remove(&(waiting.len(), flow));
        }
    }

    /// Puts a workspace into the orders after it changed.
    fn link(&mut self, flow: usize) {
        let Flow {
            virtual_start,
            waiting,
            weight,
            ..
        } = &self.flows[flow];
        if waiting.is_empty() {
            self.idle.insert((*virtual_start, flow));
        } else {
            self.backlogged_weight += weight;
            self.backlogged.insert((*virtual_start, flow));
            self.by_length.insert((waiting.len(), flow));
        }
    }

    /// Drops idle workspaces that would start at the present virtual time anyway.
    fn remove_settled(&mut self) {
        while let Some(&(virtual_start, flow)) = self.idle.first() {
            if virtual_start > self.virtual_time {
                break;
            }
            self.idle.pop_first();
            self.flow_by_workspace.remove(&self.flows[flow].workspace);
            self.free_flows.push(flow);
        }
    }
}

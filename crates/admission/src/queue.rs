//! Weighted fair queue over workspaces.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use units::{cost::Cost, request, time::Instant, workspace};

use crate::Ticket;

/// Virtual time per token of cost at weight one. The scale preserves precision in
/// divisions by a weight.
const VIRTUAL_TIME_SCALE: u64 = 1 << 10;
/// Maximum cost charged for one ticket, so that virtual time cannot overflow.
const MAX_CHARGED_COST: u64 = 1 << 32;
const PRIORITY_COUNT: usize = 3;

/// Sort key of the tickets of a workspace: the time of arrival plus the delay of
/// lower priorities, then the arrival number.
type Rank = (Instant, u64);

/// A queued ticket.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The queued ticket.
    pub ticket: Ticket,
    /// Latest instant at which the request may still be started.
    pub latest_start: Instant,
}

/// Queued tickets and virtual start time of one workspace.
#[derive(Clone, Debug)]
struct Flow {
    workspace: workspace::Id,
    weight: u64,
    /// Virtual start time of the next ticket.
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
/// The workspace with the lowest virtual start time is served next; serving a
/// ticket advances its virtual start by the cost divided by the weight. A
/// workspace that was idle starts at the current virtual time, so it neither
/// accumulates credit while idle nor waits behind the backlog of others. Adding,
/// serving or removing a ticket takes time logarithmic in the number of tickets
/// and workspaces.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    flows: Vec<Flow>,
    free_flows: Vec<usize>,
    flow_by_workspace: BTreeMap<workspace::Id, usize>,
    weights: BTreeMap<workspace::Id, u32>,
    /// Workspaces with queued tickets, by virtual start.
    backlogged: BTreeSet<(u64, usize)>,
    /// Workspaces without queued tickets whose virtual start is after the current
    /// virtual time.
    idle: BTreeSet<(u64, usize)>,
    /// Workspaces with queued tickets, by number of tickets.
    by_length: BTreeSet<(usize, usize)>,
    positions: BTreeMap<request::Attempt, Position>,
    expiry: BTreeSet<(Instant, request::Attempt)>,
    virtual_time: u64,
    next_arrival: u64,
    cost: Cost,
    backlogged_weight: u64,
}

impl Queue {
    /// Sets the weights of workspaces. Workspaces without an entry have weight one.
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

    /// Number of queued tickets.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no ticket is queued.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Total cost of the queued tickets.
    pub fn cost(&self) -> Cost {
        self.cost
    }

    /// Whether the ticket of `attempt` is queued.
    pub fn contains(&self, attempt: request::Attempt) -> bool {
        self.positions.contains_key(&attempt)
    }

    /// Number of queued tickets of `workspace`.
    pub fn len_of(&self, workspace: &workspace::Id) -> usize {
        let flow = self.flow_by_workspace.get(workspace);
        flow.map_or(0, |&flow| self.flows[flow].waiting.len())
    }

    /// Cost of the queued tickets of `workspace`.
    pub fn cost_of(&self, workspace: &workspace::Id) -> Cost {
        let flow = self.flow_by_workspace.get(workspace);
        flow.map_or(Cost(0), |&flow| {
            self.flows[flow].costs.iter().copied().sum()
        })
    }

    /// Estimated cost served before a ticket of `workspace` that is queued now.
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

    /// Estimated cost served to all workspaces while virtual time advances by
    /// `virtual_wait`, with a workspace of `joining_weight` added.
    fn cost_served_within(&self, virtual_wait: u64, joining_weight: u64) -> Cost {
        let weight = u128::from(self.backlogged_weight + joining_weight);
        let served = u128::from(virtual_wait) * weight / u128::from(VIRTUAL_TIME_SCALE);
        // Each workspace with a slightly lower virtual start may be served one ticket first.
        let head_allowance = self.mean_cost() * self.backlogged.len() as u64;
        let served = u64::try_from(served).unwrap_or(u64::MAX);
        self.cost.min(Cost(served.saturating_add(head_allowance)))
    }

    fn mean_cost(&self) -> u64 {
        self.cost.0 / (self.positions.len().max(1) as u64)
    }

    /// Charges a workspace for a ticket admitted without passing this queue.
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

    /// Adds a ticket. Each step below the highest priority moves it back by `step`
    /// in the order of its workspace.
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

    /// The next ticket of each workspace, in the order of service.
    pub fn heads(&self) -> impl Iterator<Item = &Waiting> {
        let flows = self.backlogged.iter().map(|&(_, flow)| &self.flows[flow]);
        flows.filter_map(|flow| flow.waiting.values().next())
    }

    /// Removes a ticket to serve it and charges its workspace.
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

    /// Removes a ticket without serving it.
    pub fn remove(&mut self, attempt: request::Attempt) -> Option<Waiting> {
        let waiting = self.detach(attempt)?;
        self.remove_settled();
        Some(waiting)
    }

    /// Removes the next ticket whose latest start has passed.
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

    /// Removes the last ticket of the workspace with the most queued tickets, if
    /// that workspace has more than `workspace` would have with one more.
    pub fn pop_from_longest(&mut self, workspace: &workspace::Id) -> Option<Waiting> {
        let &(length, flow) = self.by_length.last()?;
        if length <= self.len_of(workspace) + 1 {
            return None;
        }
        let last = self.flows[flow].waiting.values().next_back()?;
        self.remove(last.ticket.attempt)
    }

    /// Removes the last ticket of the workspace with the most queued tickets.
    pub fn pop_last(&mut self) -> Option<Waiting> {
        let &(_, flow) = self.by_length.last()?;
        let last = self.flows[flow].waiting.values().next_back()?;
        self.remove(last.ticket.attempt)
    }

    /// Removes the tickets for which `predicate` holds. Its second argument is the
    /// estimated cost served before the ticket.
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

    /// Clears the charges of all workspaces if no ticket is queued. Called when the
    /// server is idle, so that past usage does not delay anyone.
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

    /// Removes a workspace from the sorted sets before its sort keys change.
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

    /// Inserts a workspace into the sorted sets after its sort keys changed.
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

    /// Removes idle workspaces whose virtual start is not after the current virtual
    /// time: a new entry would start at the same time.
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

//! The requests of a run, drawn in advance so that they are the same for every policy.

use std::{cmp, collections::BinaryHeap};

use units::{chat, time::Instant};

use crate::{deployment::Deployment, random::Random};

/// Minimum pause of a chat, in seconds, for the caller to read the response.
const MIN_PAUSE_S: f64 = 8.0;
/// Probability that a chat ends after a turn.
const CHAT_END_PROBABILITY: f64 = 0.02;
/// Sigma of the log-normal distribution of lengths and pauses.
const LOG_NORMAL_SIGMA: f64 = 0.7;

/// One request as its caller sends it.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When the request reaches its entry router.
    pub at: Instant,
    /// The chat.
    pub chat: chat::Key,
    /// Index of the workspace.
    pub workspace: u16,
    /// Index of the entry router. The load balancer spreads each chat over all routers.
    pub router: u16,
    /// Prompt tokens, including the earlier turns of the chat.
    pub prompt: u32,
    /// Output tokens that the engine will generate.
    pub output: u32,
}

/// A workspace that sends a multiple of its usual traffic for a while.
#[derive(Clone, Copy, Debug)]
pub struct Surge {
    /// Index of the workspace.
    pub workspace: u16,
    /// Factor by which its traffic is multiplied.
    pub factor: u32,
    /// When the surge starts.
    pub from: Instant,
    /// When the surge ends.
    pub until: Instant,
}

/// Parameters of the drawn workload.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Seed of all random draws.
    pub seed: u64,
    /// No request arrives from this instant on.
    pub until: Instant,
    /// The time over which the traffic rises from zero to its full rate.
    pub ramp: Instant,
    /// A surge, if any.
    pub surge: Option<Surge>,
}

#[derive(Clone, Copy, Debug)]
struct Chat {
    key: chat::Key,
    workspace: u16,
    context: u32,
}

/// Draws the requests of a run, in order of arrival.
pub fn draw(deployment: &Deployment, plan: &Plan) -> Vec<Arrival> {
    let mut random = Random::new(plan.seed, 1);
    let mut chats: Vec<Chat> = (0..deployment.chats)
        .map(|_| new_chat(deployment, &mut random))
        .collect();
    let mut next: BinaryHeap<cmp::Reverse<(Instant, usize)>> = (0..chats.len())
        .map(|index| {
            let rest = draw_first_pause(deployment, &mut random);
            cmp::Reverse((seconds(rest), index))
        })
        .collect();
    let mut arrivals = Vec::new();
    while let Some(cmp::Reverse((at, index))) = next.pop() {
        if at >= plan.until {
            continue;
        }
        let chat = &mut chats[index];
        let ramped = at.as_micros() as f64 / plan.ramp.as_micros().max(1) as f64;
        if random.chance(ramped) {
            let arrival = next_turn(deployment, chat, at, &mut random);
            arrivals.push(arrival);
            if let Some(surge) = plan.surge {
                add_surge_requests(&surge, arrival, deployment, &mut random, &mut arrivals);
            }
        }
        let is_over =
            chat.context > deployment.chat.max_context || random.chance(CHAT_END_PROBABILITY);
        if is_over {
            *chat = new_chat(deployment, &mut random);
        }
        let pause = draw_pause(deployment, &mut random);
        next.push(cmp::Reverse((seconds(to_seconds(at) + pause), index)));
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn new_chat(deployment: &Deployment, random: &mut Random) -> Chat {
    Chat {
        key: chat::Key(random.hash()),
        workspace: random.weighted(&deployment.workspaces) as u16,
        context: random.log_normal(deployment.chat.context, LOG_NORMAL_SIGMA) as u32,
    }
}

fn next_turn(
    deployment: &Deployment,
    chat: &mut Chat,
    at: Instant,
    random: &mut Random,
) -> Arrival {
    let new_tokens = random.log_normal(deployment.chat.new_tokens, LOG_NORMAL_SIGMA) as u32 + 1;
    let output = random.log_normal(deployment.chat.output, LOG_NORMAL_SIGMA) as u32 + 1;
    let prompt = chat.context + new_tokens;
    chat.context = prompt + output;
    Arrival {
        at,
        chat: chat.key,
        workspace: chat.workspace,
        router: random.below(deployment.routers) as u16,
        prompt,
        output,
    }
}

/// Adds the additional requests of a surging workspace: new chats that start within a
/// second of `arrival`.
fn add_surge_requests(
    surge: &Surge,
    arrival: Arrival,
    deployment: &Deployment,
    random: &mut Random,
    arrivals: &mut Vec<Arrival>,
) {
    let surging = (surge.from..surge.until).contains(&arrival.at);
    if arrival.workspace != surge.workspace || !surging {
        return;
    }
    for _ in 1..surge.factor {
        let mut chat = new_chat(deployment, random);
        chat.workspace = surge.workspace;
        let at = seconds(to_seconds(arrival.at) + random.unit());
        arrivals.push(next_turn(deployment, &mut chat, at, random));
    }
}

fn draw_pause(deployment: &Deployment, random: &mut Random) -> f64 {
    let chat = &deployment.chat;
    if random.chance(chat.long_share) {
        random.exponential(chat.long_pause).max(MIN_PAUSE_S)
    } else {
        random
            .log_normal(chat.pause, LOG_NORMAL_SIGMA)
            .max(MIN_PAUSE_S)
    }
}

/// Draws the remainder of the pause that a chat is in when the run starts.
///
/// A chat is more likely to be in a long pause than in a short one, in proportion to
/// their lengths. Drawing accordingly keeps the traffic constant over the run.
fn draw_first_pause(deployment: &Deployment, random: &mut Random) -> f64 {
    let chat = &deployment.chat;
    let long = chat.long_share * chat.long_pause;
    let short =
        (1.0 - chat.long_share) * chat.pause * (LOG_NORMAL_SIGMA * LOG_NORMAL_SIGMA / 2.0).exp();
    if random.chance(long / (long + short)) {
        random.exponential(chat.long_pause)
    } else {
        random.log_normal(chat.pause, LOG_NORMAL_SIGMA) * random.unit()
    }
}

fn seconds(seconds: f64) -> Instant {
    Instant::from_micros((seconds * 1e6) as u64)
}

fn to_seconds(at: Instant) -> f64 {
    at.as_micros() as f64 / 1e6
}

//! What one backend server takes now.
//!
//! [`Server`] is the state that the owner of one backend server keeps: a
//! concurrency limit that starts at one, a fair queue over workspaces, and the
//! load that the server reports. It has no I/O and no clock; the owner hands
//! in each event with the present instant and carries out the [`Action`]s.
//!
//! ```
//! use admission::{Decision, Outcome, Server, Settings, Ticket};
//! use units::{cost::Cost, request, time::Instant};
//!
//! let mut server = Server::new(Settings::default(), Instant::ZERO);
//! let ticket = |number| Ticket {
//!     attempt: request::Attempt(number),
//!     workspace: "acme".parse().expect("a valid name"),
//!     cost: Cost(300),
//!     priority: request::Priority::Normal,
//!     standing: admission::Standing::Clear,
//!     deadline: Instant::from_millis(60_000),
//! };
//! // A server starts cold: it takes one request, and the next one waits.
//! assert_eq!(server.offer(ticket(1), Instant::ZERO).decision, Decision::Admitted);
//! assert_eq!(server.offer(ticket(2), Instant::ZERO).decision, Decision::Queued);
//! let outcome = Outcome::Completed {
//!     first_token_at: Instant::from_millis(200),
//!     ended_at: Instant::from_millis(900),
//! };
//! let actions = server.finish(request::Attempt(1), outcome, Instant::from_millis(900));
//! assert_eq!(actions[0], admission::Action::Admit(request::Attempt(2)));
//! ```

mod estimate;
mod limit;
mod load;
mod message;
mod output_lengths;
mod queue;
mod server;
mod settings;
mod share;
mod suspect_queue;

pub use limit::{FirstToken, Limit, Phase};
pub use message::{
    Action, Actions, Bound, Decision, Handover, Offered, Outcome, Report, Snapshot, Standing,
    State, Ticket,
};
pub use output_lengths::OutputLengths;
pub use queue::{Queue, Waiting};
pub use server::Server;
pub use settings::Settings;
pub use share::Shares;

//! Admission control of one backend server.
//!
//! [`Server`] is the state that the router owning a backend server keeps for
//! it: an adaptive concurrency limit that starts at one, a fair queue over
//! workspaces, and the load that the server reports. It does no I/O and reads no
//! clock: the owner passes each event with the current instant and carries out
//! the returned [`Action`]s.
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
//! // The limit of a cold server is one: the first request is admitted, the second queued.
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

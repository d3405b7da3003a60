//! Commands and their flags.

use std::net;

use bpaf::{Bpaf, Parser, construct};
use config::{key, resource};
use serde::Serialize;
use units::{availability, backend, change};

/// How answers are printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Output {
    /// Tables for people.
    #[default]
    Table,
    /// JSON for programs.
    Json,
}

impl std::str::FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err(String::from("allowed are table and json")),
        }
    }
}

/// An order to an engine, as the administration takes it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Order {
    server: backend::Server,
    order: Content,
}

/// What the engine is to do.
#[derive(Clone, Debug, PartialEq, Serialize, Bpaf)]
struct Content {
    /// The model
    #[bpaf(argument("MODEL"), optional)]
    model: Option<String>,
    /// The adapter
    #[bpaf(argument("ADAPTER"), optional)]
    adapter: Option<String>,
    /// The version
    #[bpaf(argument("VERSION"), optional)]
    version: Option<String>,
    /// The new role
    #[bpaf(argument("ROLE"), optional)]
    role: Option<String>,
    /// `load`, `unload` or `role`
    #[bpaf(positional("load|unload|role"))]
    kind: String,
}

fn order() -> impl Parser<Order> {
    let server = bpaf::positional("SERVER").help("The engine");
    let order = content();
    construct!(Order { order, server })
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Bpaf)]
pub enum Command {
    /// Declare the resources in a file; what is declared as written stays untouched
    #[bpaf(command)]
    Apply {
        /// The file, `-` for standard input
        #[bpaf(short, long, argument("FILE"))]
        file: String,
        /// Delete what is declared and not in the file
        prune: bool,
        /// The name of the change.
        #[bpaf(external(id))]
        id: Option<change::Id>,
        /// How the answer is printed.
        #[bpaf(external(output))]
        output: Output,
    },
    /// Show what applying a file would change; exits with 1 if anything
    #[bpaf(command)]
    Diff {
        /// The file, `-` for standard input
        #[bpaf(short, long, argument("FILE"))]
        file: String,
        /// Delete what is declared and not in the file
        prune: bool,
    },
    /// Show one resource
    #[bpaf(command)]
    Get {
        /// How the answer is printed.
        #[bpaf(external(output))]
        output: Output,
        /// The resource
        #[bpaf(positional("TYPE/NAME"))]
        key: key::Key,
    },
    /// List resources and their states
    #[bpaf(command)]
    List {
        /// How the answer is printed.
        #[bpaf(external(output))]
        output: Output,
        /// Only those of one type
        #[bpaf(positional("TYPE"))]
        kind: Option<key::Type>,
    },
    /// Delete resources
    #[bpaf(command)]
    Delete {
        /// The name of the change.
        #[bpaf(external(id))]
        id: Option<change::Id>,
        /// How the answer is printed.
        #[bpaf(external(output))]
        output: Output,
        /// The resources
        #[bpaf(positional("TYPE/NAME"), some("name at least one resource"))]
        keys: Vec<key::Key>,
    },
    /// Print changes of state as they come
    #[bpaf(command)]
    Watch {
        /// Stop when everything declared is in force and everything deleted withdrawn
        until_in_force: bool,
        /// Give up after this many seconds, with exit code 3
        #[bpaf(argument("SECONDS"), optional)]
        timeout: Option<u64>,
        /// How the answer is printed.
        #[bpaf(external(output))]
        output: Output,
    },
    /// Show the audit trail: who changed what, and when
    #[bpaf(command)]
    History {
        /// The earliest revision
        #[bpaf(argument("REVISION"), optional)]
        from: Option<u64>,
        /// The most changes
        #[bpaf(argument("N"), fallback(50))]
        limit: u64,
        /// How the answer is printed.
        #[bpaf(external(output))]
        output: Output,
    },
    /// Give a backend server no new work
    #[bpaf(command)]
    Drain {
        /// The name of the change.
        #[bpaf(external(id))]
        id: Option<change::Id>,
        /// How the answer is printed.
        #[bpaf(external(output))]
        output: Output,
        /// The backend server
        #[bpaf(positional("SERVER"))]
        server: backend::Server,
    },
    /// Give a drained backend server work again
    #[bpaf(command)]
    Undrain {
        /// The name of the change.
        #[bpaf(external(id))]
        id: Option<change::Id>,
        /// How the answer is printed.
        #[bpaf(external(output))]
        output: Output,
        /// The backend server
        #[bpaf(positional("SERVER"))]
        server: backend::Server,
    },
    /// Take an availability zone out of service or in again
    #[bpaf(command)]
    Zone {
        /// The name of the change.
        #[bpaf(external(id))]
        id: Option<change::Id>,
        /// How the answer is printed.
        #[bpaf(external(output))]
        output: Output,
        /// `out` or `in`
        #[bpaf(external(service))]
        service: resource::Service,
        /// The availability zone
        #[bpaf(positional("ZONE"))]
        zone: availability::Zone,
    },
    /// Order an engine to load or unload a model, or to change its role
    #[bpaf(command)]
    Order {
        /// How the answer is printed.
        #[bpaf(external(output))]
        output: Output,
        /// The order.
        #[bpaf(external(order))]
        order: Order,
    },
    /// Show zones, routers, backend servers and refusals on one screen
    #[bpaf(command)]
    Status {
        /// How the answer is printed.
        #[bpaf(external(output))]
        output: Output,
    },
    /// Show what a router on the users' platform believes of itself and of its servers
    #[bpaf(command)]
    Router {
        /// Its metrics address
        #[bpaf(positional("IP:PORT"))]
        address: net::SocketAddr,
    },
    /// Print the hash of a token or caller key that is read from standard input
    #[bpaf(command)]
    Hash,
    /// Show where requests were lost, by the log lines of routers
    #[bpaf(command)]
    Losses {
        /// Print JSON
        json: bool,
        /// Draw first bytes and losses over time into a file
        #[bpaf(argument("FILE.svg"), optional)]
        plot: Option<String>,
        /// Files of log lines, `-` for standard input
        #[bpaf(positional("FILE"), fallback(vec![String::from("-")]))]
        files: Vec<String>,
    },
}

fn output() -> impl Parser<Output> {
    bpaf::short('o')
        .long("output")
        .help("table or json")
        .argument("FORMAT")
        .fallback(Output::Table)
}

fn id() -> impl Parser<Option<change::Id>> {
    bpaf::long("id")
        .help("The name of the change; a repeat with the same one is not applied twice")
        .argument("ID")
        .optional()
}

fn service() -> impl Parser<resource::Service> {
    bpaf::positional::<String>("out|in").parse(|text| match text.as_str() {
        "out" => Ok(resource::Service::Out),
        "in" => Ok(resource::Service::In),
        _ => Err("allowed are out and in"),
    })
}

/// What was given on the command line, the connection unchecked.
#[derive(Clone, Debug)]
pub struct Arguments {
    /// The address of the administration.
    pub admin: settings::Raw,
    /// The operator's token.
    pub token: settings::Raw,
    /// What to do.
    pub command: Command,
}

/// The parser of the whole command line.
pub fn parser() -> impl Parser<Arguments> {
    let admin = settings::text("admin", "WEIR_ADMIN", "IP:PORT", "The administration");
    let token = settings::secret("WEIR_TOKEN");
    let command = command();
    construct!(Arguments {
        admin,
        token,
        command
    })
}

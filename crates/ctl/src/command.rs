//! The commands and flags of the command line.

use std::net;

use bpaf::{Bpaf, Parser, construct};
use config::{key, resource};
use serde::Serialize;
use units::{availability, backend, change};

/// The output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Output {
    /// Human-readable tables.
    #[default]
    Table,
    /// JSON for scripts.
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

/// An order to an engine, as the body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Order {
    server: backend::Server,
    order: Content,
}

/// The kind and the arguments of an order.
#[derive(Clone, Debug, PartialEq, Serialize, Bpaf)]
struct Content {
    /// The model to load or unload
    #[bpaf(argument("MODEL"), optional)]
    model: Option<String>,
    /// The adapter to load or unload
    #[bpaf(argument("ADAPTER"), optional)]
    adapter: Option<String>,
    /// The version to load or unload
    #[bpaf(argument("VERSION"), optional)]
    version: Option<String>,
    /// The engine's new role
    #[bpaf(argument("ROLE"), optional)]
    role: Option<String>,
    /// The kind of the order: `load`, `unload` or `role`
    #[bpaf(positional("load|unload|role"))]
    kind: String,
}

fn order() -> impl Parser<Order> {
    let server = bpaf::positional("SERVER").help("The name of the engine");
    let order = content();
    construct!(Order { order, server })
}

/// A command with its arguments.
#[derive(Clone, Debug, PartialEq, Bpaf)]
pub enum Command {
    /// Declare the resources in a file; resources that already match stay unchanged
    #[bpaf(command)]
    Apply {
        /// The file of resources, `-` for standard input
        #[bpaf(short, long, argument("FILE"))]
        file: String,
        /// Delete declared resources that are not in the file
        prune: bool,
        /// The id of the change.
        #[bpaf(external(id))]
        id: Option<change::Id>,
        /// The output format.
        #[bpaf(external(output))]
        output: Output,
    },
    /// Show what applying a file would change; the exit code is 1 if there are differences
    #[bpaf(command)]
    Diff {
        /// The file of resources, `-` for standard input
        #[bpaf(short, long, argument("FILE"))]
        file: String,
        /// Delete declared resources that are not in the file
        prune: bool,
    },
    /// Show one resource
    #[bpaf(command)]
    Get {
        /// The output format.
        #[bpaf(external(output))]
        output: Output,
        /// The resource
        #[bpaf(positional("TYPE/NAME"))]
        key: key::Key,
    },
    /// List resources and their states
    #[bpaf(command)]
    List {
        /// The output format.
        #[bpaf(external(output))]
        output: Output,
        /// List only resources of this type
        #[bpaf(positional("TYPE"))]
        kind: Option<key::Type>,
    },
    /// Delete resources
    #[bpaf(command)]
    Delete {
        /// The id of the change.
        #[bpaf(external(id))]
        id: Option<change::Id>,
        /// The output format.
        #[bpaf(external(output))]
        output: Output,
        /// The resources to delete
        #[bpaf(positional("TYPE/NAME"), some("name at least one resource"))]
        keys: Vec<key::Key>,
    },
    /// Print state changes of resources as they occur
    #[bpaf(command)]
    Watch {
        /// Stop when all declared resources are in force and all deleted ones are withdrawn
        until_in_force: bool,
        /// Timeout in seconds, after which the exit code is 3
        #[bpaf(argument("SECONDS"), optional)]
        timeout: Option<u64>,
        /// The output format.
        #[bpaf(external(output))]
        output: Output,
    },
    /// Show the audit trail of changes
    #[bpaf(command)]
    History {
        /// The first revision to show
        #[bpaf(argument("REVISION"), optional)]
        from: Option<u64>,
        /// The maximum number of changes to show
        #[bpaf(argument("N"), fallback(50))]
        limit: u64,
        /// The output format.
        #[bpaf(external(output))]
        output: Output,
    },
    /// Drain a backend server: send it no new requests
    #[bpaf(command)]
    Drain {
        /// The id of the change.
        #[bpaf(external(id))]
        id: Option<change::Id>,
        /// The output format.
        #[bpaf(external(output))]
        output: Output,
        /// The backend server
        #[bpaf(positional("SERVER"))]
        server: backend::Server,
    },
    /// Return a drained backend server to service
    #[bpaf(command)]
    Undrain {
        /// The id of the change.
        #[bpaf(external(id))]
        id: Option<change::Id>,
        /// The output format.
        #[bpaf(external(output))]
        output: Output,
        /// The backend server
        #[bpaf(positional("SERVER"))]
        server: backend::Server,
    },
    /// Take an availability zone out of service or return it to service
    #[bpaf(command)]
    Zone {
        /// The id of the change.
        #[bpaf(external(id))]
        id: Option<change::Id>,
        /// The output format.
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
        /// The output format.
        #[bpaf(external(output))]
        output: Output,
        /// The order to send.
        #[bpaf(external(order))]
        order: Order,
    },
    /// Show a summary of zones, routers, backend servers and refusals
    #[bpaf(command)]
    Status {
        /// The output format.
        #[bpaf(external(output))]
        output: Output,
    },
    /// Show a router's view of itself and of its backend servers
    #[bpaf(command)]
    Router {
        /// The metrics address of the router
        #[bpaf(positional("IP:PORT"))]
        address: net::SocketAddr,
    },
    /// Show a router's view of the roll-outs: stage, evidence by route and verdict
    #[bpaf(command)]
    Rollouts {
        /// The metrics address of the router
        #[bpaf(positional("IP:PORT"))]
        address: net::SocketAddr,
    },
    /// Show the prompt parts that a router refuses because they crash servers
    #[bpaf(command)]
    Parts {
        /// Refuse these parts no longer, on all routers
        #[bpaf(argument("PART+PART"), optional)]
        lift: Option<String>,
        /// The metrics address of the router
        #[bpaf(positional("IP:PORT"))]
        address: net::SocketAddr,
    },
    /// Print the hash of a token or caller key that is read from standard input
    #[bpaf(command)]
    Hash,
    /// Show where requests were lost, according to the log lines of routers
    #[bpaf(command)]
    Losses {
        /// Print the report as JSON
        json: bool,
        /// Plot times to first byte and losses over time into a file
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
        .help("The id of the change; a change that is repeated with the same id is applied once")
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

/// The parsed command line with the connection settings not yet validated.
#[derive(Clone, Debug)]
pub struct Arguments {
    /// The address of the administration.
    pub admin: settings::Raw,
    /// The operator's token.
    pub token: settings::Raw,
    /// The command.
    pub command: Command,
}

/// Returns the parser of the whole command line.
pub fn parser() -> impl Parser<Arguments> {
    let admin = settings::text(
        "admin",
        "WEIR_ADMIN",
        "IP:PORT",
        "Address of the administration",
    );
    let token = settings::secret("WEIR_TOKEN");
    let command = command();
    construct!(Arguments {
        admin,
        token,
        command
    })
}

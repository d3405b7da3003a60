//! Flags and environment variables of `weir-load`.

use std::num::NonZeroUsize;

use bpaf::{Parser, construct};
use load::{compare, settings::Settings};
use settings::{Faults, Raw, secret, text};

use crate::value;

/// Description of the program in `--help`.
pub const ABOUT: &str = "Simulates callers of a fleet of routers and reports the results. \
                         WEIR_CALLER_KEY is the API key of the callers, if the workspaces require one.";

/// Maximum skew of the load balancer.
const MAX_SKEW: usize = 1000;
/// Maximum number of callers of one kind.
const MAX_CALLERS: u32 = 100_000;

/// What the program is to do, with valid settings.
pub enum Task {
    /// Run a load test.
    Run {
        /// The settings.
        settings: Settings,
        /// Whether the report has a line for each second.
        has_timeline: bool,
    },
    /// Measure what a router adds to response times over a direct connection.
    Compare(compare::Comparison),
}

/// The command and its settings as given, not yet validated.
pub enum Command {
    /// A load test.
    Run(Box<Run>),
    /// A comparison.
    Compare(Box<Compare>),
}

/// Settings of a load test as given, not yet validated.
pub struct Run {
    routers: Raw,
    skew: Raw,
    ledgers: Raw,
    sizes: Sizes,
    duration: Raw,
    chats: Raw,
    pause: Raw,
    turns: Raw,
    booking_callers: Raw,
    booking_pause: Raw,
    booking_path: Raw,
    duplicate_percent: Raw,
    lookup_callers: Raw,
    lookup_pause: Raw,
    lookup_path: Raw,
    timeout: Raw,
    retries_lost: bool,
    phases: Raw,
    seed: Raw,
    has_timeline: bool,
}

/// Settings of the requests that both commands have.
pub struct Sizes {
    workspaces: Raw,
    key: Raw,
    words: Raw,
    tokens: Raw,
    model: Raw,
}

/// Settings of a comparison as given, not yet validated.
pub struct Compare {
    direct: Raw,
    routed: Raw,
    requests: Raw,
    warm_up: Raw,
    sizes: Sizes,
}

/// Parser of the optional command and its flags.
pub fn command() -> impl Parser<Command> {
    let compare = compare().map(Box::new).map(Command::Compare);
    let compare = compare
        .to_options()
        .descr("Measure what a router adds to response times over a direct connection")
        .command("compare");
    let run = run().map(Box::new).map(Command::Run);
    construct!([compare, run])
}

fn sizes() -> impl Parser<Sizes> {
    let workspaces = text(
        "workspaces",
        "WEIR_LOAD_WORKSPACES",
        "NAME,...",
        "Workspaces in descending order of traffic [default]",
    );
    let key = secret("WEIR_CALLER_KEY");
    let words = text(
        "words",
        "WEIR_LOAD_WORDS",
        "N",
        "Number of words in a user message [40]",
    );
    let tokens = text(
        "tokens",
        "WEIR_LOAD_TOKENS",
        "N",
        "Number of tokens in a response [24]",
    );
    let model = text(
        "model",
        "WEIR_LOAD_MODEL",
        "NAME",
        "Model that chats request [weir]",
    );
    construct!(Sizes {
        workspaces,
        key,
        words,
        tokens,
        model
    })
}

fn run() -> impl Parser<Run> {
    let routers = text(
        "routers",
        "WEIR_LOAD_ROUTERS",
        "IP:PORT,...",
        "Routers that callers send requests to",
    );
    let skew = text(
        "skew",
        "WEIR_LOAD_SKEW",
        "N",
        "Send all but one in N requests to one router; 0 balances them evenly [0]",
    );
    let ledgers = text(
        "ledgers",
        "WEIR_LOAD_LEDGERS",
        "IP:PORT,...",
        "Plain services whose ledgers are checked for bookings that ran twice [none]",
    );
    let sizes = sizes();
    let duration = text(
        "duration-ms",
        "WEIR_LOAD_DURATION_MS",
        "MILLISECONDS",
        "How long callers start new requests [10000]",
    );
    let chats = text(
        "chats",
        "WEIR_LOAD_CHATS",
        "N",
        "Number of concurrent chats [40]",
    );
    let pause = text(
        "pause-ms",
        "WEIR_LOAD_PAUSE_MS",
        "MILLISECONDS",
        "Mean pause between a response and the next message of its chat [500]",
    );
    let turns = text(
        "turns",
        "WEIR_LOAD_TURNS",
        "N",
        "User messages per chat before a new chat begins [12]",
    );
    let booking_callers = text(
        "bookers",
        "WEIR_LOAD_BOOKERS",
        "N",
        "Number of callers that send bookings [4]",
    );
    let booking_pause = text(
        "booking-pause-ms",
        "WEIR_LOAD_BOOKING_PAUSE_MS",
        "MILLISECONDS",
        "Mean pause between two bookings of a caller [200]",
    );
    let booking_path = text(
        "booking-path",
        "WEIR_LOAD_BOOKING_PATH",
        "PATH",
        "Path of bookings [/bookings]",
    );
    let duplicate_percent = text(
        "repeats",
        "WEIR_LOAD_REPEATS",
        "PERCENT",
        "Percentage of bookings that are sent twice concurrently with the same idempotency key [20]",
    );
    let lookup_callers = text(
        "lookers",
        "WEIR_LOAD_LOOKERS",
        "N",
        "Number of callers that send lookups [4]",
    );
    let lookup_pause = text(
        "lookup-pause-ms",
        "WEIR_LOAD_LOOKUP_PAUSE_MS",
        "MILLISECONDS",
        "Mean pause between two lookups of a caller [200]",
    );
    let lookup_path = text(
        "lookup-path",
        "WEIR_LOAD_LOOKUP_PATH",
        "PATH",
        "Path prefix of lookups [/lookups]",
    );
    let timeout = text(
        "patience-ms",
        "WEIR_LOAD_PATIENCE_MS",
        "MILLISECONDS",
        "Timeout of a request including its retries [20000]",
    );
    let seed = text(
        "seed",
        "WEIR_LOAD_SEED",
        "N",
        "Seed of the random number generators [1]",
    );
    let retries_lost = bpaf::long("repeat-broken")
        .help("Retry lost requests, such as those whose connection broke")
        .switch();
    let phases = text(
        "phases-ms",
        "WEIR_LOAD_PHASES_MS",
        "MILLISECONDS,...",
        "Start times of the further phases of the report [none]",
    );
    let has_timeline = bpaf::long("timeline")
        .help("Print a line of results for each second")
        .switch();
    construct!(Run {
        routers,
        skew,
        ledgers,
        sizes,
        duration,
        chats,
        pause,
        turns,
        booking_callers,
        booking_pause,
        booking_path,
        duplicate_percent,
        lookup_callers,
        lookup_pause,
        lookup_path,
        timeout,
        retries_lost,
        phases,
        seed,
        has_timeline,
    })
}

fn compare() -> impl Parser<Compare> {
    let direct = text(
        "direct",
        "WEIR_LOAD_DIRECT",
        "IP:PORT",
        "Address of an engine",
    );
    let routed = text(
        "through",
        "WEIR_LOAD_THROUGH",
        "IP:PORT",
        "Address of a router that routes to this engine",
    );
    let requests = text(
        "requests",
        "WEIR_LOAD_REQUESTS",
        "N",
        "Number of measured requests to each address [2000]",
    );
    let warm_up = text(
        "warm-up",
        "WEIR_LOAD_WARM_UP",
        "N",
        "Number of warm-up requests to each address [200]",
    );
    let sizes = sizes();
    construct!(Compare {
        direct,
        routed,
        requests,
        warm_up,
        sizes
    })
}

/// Validates the settings and converts them to a task. Adds invalid settings to `faults`.
pub fn check(command: Command, faults: &mut Faults) -> Option<Task> {
    match command {
        Command::Run(raw) => check_run(&raw, faults).map(|settings| Task::Run {
            settings,
            has_timeline: raw.has_timeline,
        }),
        Command::Compare(raw) => check_compare(&raw, faults).map(Task::Compare),
    }
}

fn check_run(raw: &Run, faults: &mut Faults) -> Option<Settings> {
    let routers = value::addresses(&raw.routers, faults);
    if routers.as_ref().is_some_and(Vec::is_empty) {
        faults.add(&raw.routers, value::ADDRESSES);
    }
    let skew = faults.within(&raw.skew, 0, 0..=MAX_SKEW);
    let ledgers = value::addresses(&raw.ledgers, faults);
    let sizes = check_sizes(&raw.sizes, faults);
    let default = Settings::default();
    let duration = value::millis(&raw.duration, default.duration, faults);
    let chats = faults.within(&raw.chats, default.chats, 0..=MAX_CALLERS);
    let pause = value::millis(&raw.pause, default.pause, faults);
    let turns = faults.within(&raw.turns, default.turns, 1..=10_000);
    let booking_callers = faults.within(
        &raw.booking_callers,
        default.booking_callers,
        0..=MAX_CALLERS,
    );
    let booking_pause = value::millis(&raw.booking_pause, default.booking_pause, faults);
    let booking_path = value::path(&raw.booking_path, default.booking_path, faults);
    let duplicate_percent =
        faults.within(&raw.duplicate_percent, default.duplicate_percent, 0..=100);
    let lookup_callers =
        faults.within(&raw.lookup_callers, default.lookup_callers, 0..=MAX_CALLERS);
    let lookup_pause = value::millis(&raw.lookup_pause, default.lookup_pause, faults);
    let lookup_path = value::path(&raw.lookup_path, default.lookup_path, faults);
    let timeout = value::millis(&raw.timeout, default.timeout, faults);
    let phases = value::phases(&raw.phases, faults);
    let seed = faults.within(&raw.seed, default.seed, 0..=u64::MAX);
    Some(Settings {
        routers: routers?,
        skew: NonZeroUsize::new(skew?),
        ledgers: ledgers?,
        duration: duration?,
        chats: chats?,
        pause: pause?,
        turns: turns?,
        booking_callers: booking_callers?,
        booking_pause: booking_pause?,
        booking_path: booking_path?,
        duplicate_percent: duplicate_percent?,
        lookup_callers: lookup_callers?,
        lookup_pause: lookup_pause?,
        lookup_path: lookup_path?,
        timeout: timeout?,
        retries_lost: raw.retries_lost,
        phases: phases?,
        seed: seed?,
        ..sizes?
    })
}

fn check_sizes(raw: &Sizes, faults: &mut Faults) -> Option<Settings> {
    let default = Settings::default();
    let words = faults.within(&raw.words, default.words, 0..=100_000);
    let tokens = faults.within(&raw.tokens, default.tokens, 1..=4096);
    let workspaces = match raw.workspaces.as_str() {
        Some(names) => names.split(',').map(String::from).collect(),
        None => default.workspaces,
    };
    Some(Settings {
        workspaces,
        key: raw.key.as_str().map(String::from),
        words: words?,
        tokens: tokens?,
        model: raw.model.as_str().map_or(default.model, String::from),
        ..Settings::default()
    })
}

fn check_compare(raw: &Compare, faults: &mut Faults) -> Option<compare::Comparison> {
    let direct = faults.required(&raw.direct, settings::ADDRESS);
    let routed = faults.required(&raw.routed, settings::ADDRESS);
    let requests = faults.within(&raw.requests, 2000, 1..=10_000_000);
    let warm_up = faults.within(&raw.warm_up, 200, 0..=10_000_000);
    let load = check_sizes(&raw.sizes, faults);
    Some(compare::Comparison {
        direct: direct?,
        routed: routed?,
        requests: requests?,
        warm_up: warm_up?,
        load: load?,
    })
}

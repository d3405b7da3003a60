//! Flags and environment variables of `weir-standin`.

use std::{net::SocketAddr, time::Duration};

use bpaf::{Parser, construct};
use settings::{Faults, Raw, text};
use standin::{engine, platform, server, service};

/// What `--help` says first.
pub const ABOUT: &str = "A stand-in for an engine, a plain service or the platform";

/// The longest time that a flag may give, in milliseconds.
const MAX_MILLIS: u64 = 3_600_000;
/// The longest time that a flag may give, in microseconds.
const MAX_MICROS: u64 = 10_000_000;

/// Which stand-in runs, and how.
pub enum Role {
    /// A model engine.
    Engine(engine::Settings),
    /// A plain service.
    Service(service::Settings),
    /// The platform.
    Platform(platform::Settings),
}

/// The settings of a stand-in as they were given.
pub enum Given {
    /// A model engine.
    Engine(Box<Engine>),
    /// A plain service.
    Service(Service),
    /// The platform.
    Platform(Platform),
}

/// The settings of an engine as they were given.
pub struct Engine {
    listen: Raw,
    capacity: Raw,
    cache_tokens: Raw,
    prefill: Raw,
    token: Raw,
    neighbour: Raw,
    cold_requests: Raw,
    cold_bears: Raw,
    cold_spare: Raw,
    cold_factor: Raw,
    load_lag: Raw,
    event_lag: Raw,
    event_gap: Raw,
    ignores_fence: bool,
    order_time: Raw,
    models: Raw,
    poison: Raw,
}

/// The settings of a plain service as they were given.
pub struct Service {
    listen: Raw,
    work: Raw,
    capacity: Raw,
}

/// The settings of the platform as they were given.
pub struct Platform {
    listen: Raw,
    hosts_lag: Raw,
}

/// Reads the command and its flags.
pub fn given() -> impl Parser<Given> {
    let engine = engine().map(Box::new).map(Given::Engine);
    let engine = engine
        .to_options()
        .descr("A model engine")
        .command("engine");
    let service = service().map(Given::Service);
    let service = service
        .to_options()
        .descr("A plain service")
        .command("service");
    let platform = platform().map(Given::Platform);
    let platform = platform
        .to_options()
        .descr("The platform")
        .command("platform");
    construct!([engine, service, platform])
}

fn listen() -> impl Parser<Raw> {
    text(
        "listen",
        "WEIR_LISTEN",
        "IP:PORT",
        "Address to listen on; port 0 takes a free one [127.0.0.1:0]",
    )
}

fn engine() -> impl Parser<Engine> {
    let listen = listen();
    let capacity = text(
        "capacity",
        "WEIR_STANDIN_CAPACITY",
        "N",
        "Requests run at once [16]",
    );
    let cache_tokens = text(
        "cache-tokens",
        "WEIR_STANDIN_CACHE_TOKENS",
        "N",
        "Tokens that the prefix cache holds [20000]",
    );
    let prefill = text(
        "prefill-us",
        "WEIR_STANDIN_PREFILL_US",
        "MICROSECONDS",
        "Time for a prompt token that is not cached [50]",
    );
    let token = text(
        "token-us",
        "WEIR_STANDIN_TOKEN_US",
        "MICROSECONDS",
        "Time between two tokens [2000]",
    );
    let neighbour = text(
        "neighbour-us",
        "WEIR_STANDIN_NEIGHBOUR_US",
        "MICROSECONDS",
        "Time that each other request adds to it [200]",
    );
    let cold_requests = text(
        "cold-requests",
        "WEIR_STANDIN_COLD_REQUESTS",
        "N",
        "Requests that a cold start lasts [0]",
    );
    let cold_bears = text(
        "cold-bears",
        "WEIR_STANDIN_COLD_BEARS",
        "N",
        "Requests at once that it bears while cold [2]",
    );
    let cold_spare = text(
        "cold-spare",
        "WEIR_STANDIN_COLD_SPARE",
        "N",
        "Requests above that it gets over when it turns cold without warning [4]",
    );
    let cold_factor = text(
        "cold-factor",
        "WEIR_STANDIN_COLD_FACTOR",
        "N",
        "How much slower it is while cold [4]",
    );
    let load_lag = text(
        "load-lag-ms",
        "WEIR_STANDIN_LOAD_LAG_MS",
        "MILLISECONDS",
        "Age of a load report [200]",
    );
    let event_lag = text(
        "event-lag-ms",
        "WEIR_STANDIN_EVENT_LAG_MS",
        "MILLISECONDS",
        "Age at which a cache event is published [200]",
    );
    let event_gap = text(
        "event-gap",
        "WEIR_STANDIN_EVENT_GAP",
        "N",
        "Every how many cache events one is missing; 0: none [16]",
    );
    let ignores_fence = bpaf::long("ignores-fence")
        .help("Carry out orders with old fencing numbers")
        .switch();
    let order_time = text(
        "order-ms",
        "WEIR_STANDIN_ORDER_MS",
        "MILLISECONDS",
        "Time that an order takes [0]",
    );
    let models = text(
        "models",
        "WEIR_STANDIN_MODELS",
        "NAME,...",
        "Loaded models; without it, any is served",
    );
    let poison = text(
        "poison",
        "WEIR_STANDIN_POISON",
        "TEXT",
        "A message with this text crashes the engine",
    );
    construct!(Engine {
        listen,
        capacity,
        cache_tokens,
        prefill,
        token,
        neighbour,
        cold_requests,
        cold_bears,
        cold_spare,
        cold_factor,
        load_lag,
        event_lag,
        event_gap,
        ignores_fence,
        order_time,
        models,
        poison,
    })
}

fn service() -> impl Parser<Service> {
    let listen = listen();
    let work = text(
        "work-ms",
        "WEIR_STANDIN_WORK_MS",
        "MILLISECONDS",
        "Time that a call takes [2]",
    );
    let capacity = text(
        "capacity",
        "WEIR_STANDIN_CAPACITY",
        "N",
        "Calls run at once [32]",
    );
    construct!(Service {
        listen,
        work,
        capacity
    })
}

fn platform() -> impl Parser<Platform> {
    let listen = listen();
    let hosts_lag = text(
        "hosts-lag-ms",
        "WEIR_STANDIN_HOSTS_LAG_MS",
        "MILLISECONDS",
        "Time until a change of the list of hosts is seen [0]",
    );
    construct!(Platform { listen, hosts_lag })
}

/// Turns what was given into settings.
pub fn check(given: Given, faults: &mut Faults) -> Option<Role> {
    match given {
        Given::Engine(given) => check_engine(&given, faults).map(Role::Engine),
        Given::Service(given) => check_service(&given, faults).map(Role::Service),
        Given::Platform(given) => check_platform(&given, faults).map(Role::Platform),
    }
}

fn check_engine(given: &Engine, faults: &mut Faults) -> Option<engine::Settings> {
    let default = engine::Settings::default();
    let listen = address(&given.listen, default.listen, faults);
    let capacity = faults.within(&given.capacity, default.capacity, 1..=10_000);
    let cache_tokens = faults.within(&given.cache_tokens, default.cache_tokens, 0..=u64::MAX);
    let prefill_per_token = micros(&given.prefill, default.prefill_per_token, faults);
    let token_interval = micros(&given.token, default.token_interval, faults);
    let interval_per_neighbour = micros(&given.neighbour, default.interval_per_neighbour, faults);
    let cold_requests = faults.within(&given.cold_requests, default.cold_requests, 0..=1_000_000);
    let cold_bears = faults.within(&given.cold_bears, default.cold_bears, 1..=10_000);
    let cold_spare = faults.within(&given.cold_spare, default.cold_spare, 0..=1_000_000);
    let cold_factor = faults.within(&given.cold_factor, default.cold_factor, 1..=1000);
    let load_lag = millis(&given.load_lag, default.load_lag, faults);
    let event_lag = millis(&given.event_lag, default.event_lag, faults);
    let event_gap = faults.within(&given.event_gap, default.event_gap, 0..=u64::MAX);
    let order_time = millis(&given.order_time, default.order_time, faults);
    let models = given.models.as_str().unwrap_or_default().split(',');
    Some(engine::Settings {
        listen: listen?,
        capacity: capacity?,
        cache_tokens: cache_tokens?,
        prefill_per_token: prefill_per_token?,
        token_interval: token_interval?,
        interval_per_neighbour: interval_per_neighbour?,
        cold_requests: cold_requests?,
        cold_bears: cold_bears?,
        cold_spare: cold_spare?,
        cold_factor: cold_factor?,
        load_lag: load_lag?,
        event_lag: event_lag?,
        event_gap: event_gap?,
        checks_fence: !given.ignores_fence,
        order_time: order_time?,
        models: models
            .filter(|name| !name.is_empty())
            .map(String::from)
            .collect(),
        poison: given.poison.as_str().map(String::from),
        crash: server::Crash::Exit,
    })
}

fn check_service(given: &Service, faults: &mut Faults) -> Option<service::Settings> {
    let default = service::Settings::default();
    let listen = address(&given.listen, default.listen, faults);
    let work = millis(&given.work, default.work, faults);
    let capacity = faults.within(&given.capacity, default.capacity, 1..=10_000);
    Some(service::Settings {
        listen: listen?,
        work: work?,
        capacity: capacity?,
        crash: server::Crash::Exit,
    })
}

fn check_platform(given: &Platform, faults: &mut Faults) -> Option<platform::Settings> {
    let default = platform::Settings::default();
    let listen = address(&given.listen, default.listen, faults);
    let hosts_lag = millis(&given.hosts_lag, default.hosts_lag, faults);
    Some(platform::Settings {
        listen: listen?,
        hosts_lag: hosts_lag?,
        crash: server::Crash::Exit,
    })
}

fn address(raw: &Raw, default: SocketAddr, faults: &mut Faults) -> Option<SocketAddr> {
    faults.or_default(raw, default, settings::ADDRESS)
}

fn millis(raw: &Raw, default: Duration, faults: &mut Faults) -> Option<Duration> {
    let default = u64::try_from(default.as_millis()).unwrap_or(MAX_MILLIS);
    let millis = faults.within(raw, default, 0..=MAX_MILLIS)?;
    Some(Duration::from_millis(millis))
}

fn micros(raw: &Raw, default: Duration, faults: &mut Faults) -> Option<Duration> {
    let default = u64::try_from(default.as_micros()).unwrap_or(MAX_MICROS);
    let micros = faults.within(raw, default, 0..=MAX_MICROS)?;
    Some(Duration::from_micros(micros))
}

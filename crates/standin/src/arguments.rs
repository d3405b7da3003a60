//! Flags and environment variables of `weir-standin`.

use std::{net::SocketAddr, time::Duration};

use bpaf::{Parser, construct};
use settings::{Faults, Raw, text};
use standin::{engine, platform, server, service};

/// The description at the top of the `--help` output.
pub const ABOUT: &str = "A stand-in for an engine, a plain service or the platform";

/// The faults of responses without end, at the end of each `--help` output.
const FAULTS: &str = "POST /fault switches a fault on, such as {\"kind\":\"endless\",\"part\":\"head\",\"bytes\":1024,\
    \"interval_ms\":50}: responses without end in part head, interim or body; {\"kind\":\"normal\"} ends all faults";

/// The maximum duration of a flag in milliseconds.
const MAX_MS: u64 = 3_600_000;
/// The maximum duration of a flag in microseconds.
const MAX_US: u64 = 10_000_000;

/// The stand-in to run, with its settings.
pub enum Role {
    /// A model engine.
    Engine(engine::Settings),
    /// A plain service.
    Service(service::Settings),
    /// The platform.
    Platform(platform::Settings),
}

/// The unvalidated settings of a stand-in.
pub enum RawRole {
    /// A model engine.
    Engine(Box<RawEngine>),
    /// A plain service.
    Service(RawService),
    /// The platform.
    Platform(RawPlatform),
}

/// The unvalidated settings of an engine.
pub struct RawEngine {
    listen: Raw,
    capacity: Raw,
    cache_tokens: Raw,
    prefill_per_token: Raw,
    token_interval: Raw,
    interval_per_concurrent_request: Raw,
    cold_requests: Raw,
    cold_capacity: Raw,
    cold_overload_tolerance: Raw,
    cold_factor: Raw,
    load_lag: Raw,
    event_lag: Raw,
    event_drop_interval: Raw,
    ignores_fencing_token: bool,
    order_duration: Raw,
    models: Raw,
    poison: Raw,
}

/// The unvalidated settings of a plain service.
pub struct RawService {
    listen: Raw,
    call_duration: Raw,
    capacity: Raw,
}

/// The unvalidated settings of the platform.
pub struct RawPlatform {
    listen: Raw,
    hosts_lag: Raw,
}

/// The parser of the subcommand and its flags.
pub fn parser() -> impl Parser<RawRole> {
    let engine = engine().map(Box::new).map(RawRole::Engine);
    let engine = engine
        .to_options()
        .descr("A model engine")
        .footer(FAULTS)
        .command("engine");
    let service = service().map(RawRole::Service);
    let service = service
        .to_options()
        .descr("A plain service")
        .footer(FAULTS)
        .command("service");
    let platform = platform().map(RawRole::Platform);
    let platform = platform
        .to_options()
        .descr("The platform")
        .footer(FAULTS)
        .command("platform");
    construct!([engine, service, platform])
}

fn listen() -> impl Parser<Raw> {
    text(
        "listen",
        "WEIR_LISTEN",
        "IP:PORT",
        "Address to listen on; port 0 selects a free port [127.0.0.1:0]",
    )
}

fn engine() -> impl Parser<RawEngine> {
    let listen = listen();
    let capacity = text(
        "capacity",
        "WEIR_STANDIN_CAPACITY",
        "N",
        "Maximum number of concurrent requests [16]",
    );
    let cache_tokens = text(
        "cache-tokens",
        "WEIR_STANDIN_CACHE_TOKENS",
        "N",
        "Capacity of the prefix cache in tokens [20000]",
    );
    let prefill_per_token = text(
        "prefill-us",
        "WEIR_STANDIN_PREFILL_US",
        "MICROSECONDS",
        "Prefill time per uncached prompt token [50]",
    );
    let token_interval = text(
        "token-us",
        "WEIR_STANDIN_TOKEN_US",
        "MICROSECONDS",
        "Time between two output tokens without concurrent requests [2000]",
    );
    let interval_per_concurrent_request = text(
        "neighbour-us",
        "WEIR_STANDIN_NEIGHBOUR_US",
        "MICROSECONDS",
        "Time that each concurrent request adds to --token-us [200]",
    );
    let cold_requests = text(
        "cold-requests",
        "WEIR_STANDIN_COLD_REQUESTS",
        "N",
        "Number of completed requests after which a cold engine is warm [0]",
    );
    let cold_capacity = text(
        "cold-bears",
        "WEIR_STANDIN_COLD_BEARS",
        "N",
        "Maximum number of concurrent requests while cold [2]",
    );
    let cold_overload_tolerance = text(
        "cold-spare",
        "WEIR_STANDIN_COLD_SPARE",
        "N",
        "Requests above --cold-bears tolerated after a turn_cold fault before a crash [4]",
    );
    let cold_factor = text(
        "cold-factor",
        "WEIR_STANDIN_COLD_FACTOR",
        "N",
        "Factor by which a cold engine is slower [4]",
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
        "Delay before a cache event is published [200]",
    );
    let event_drop_interval = text(
        "event-gap",
        "WEIR_STANDIN_EVENT_GAP",
        "N",
        "Drop every Nth cache event; 0 drops none [16]",
    );
    let ignores_fencing_token = bpaf::long("ignores-fence")
        .help("Execute orders with stale fencing tokens")
        .switch();
    let order_duration = text(
        "order-ms",
        "WEIR_STANDIN_ORDER_MS",
        "MILLISECONDS",
        "Duration of an order [0]",
    );
    let models = text(
        "models",
        "WEIR_STANDIN_MODELS",
        "NAME,...",
        "Loaded models; if not given, every model is served",
    );
    let poison = text(
        "poison",
        "WEIR_STANDIN_POISON",
        "TEXT",
        "Message text that crashes the engine",
    );
    construct!(RawEngine {
        listen,
        capacity,
        cache_tokens,
        prefill_per_token,
        token_interval,
        interval_per_concurrent_request,
        cold_requests,
        cold_capacity,
        cold_overload_tolerance,
        cold_factor,
        load_lag,
        event_lag,
        event_drop_interval,
        ignores_fencing_token,
        order_duration,
        models,
        poison,
    })
}

fn service() -> impl Parser<RawService> {
    let listen = listen();
    let call_duration = text(
        "work-ms",
        "WEIR_STANDIN_WORK_MS",
        "MILLISECONDS",
        "Duration of a call [2]",
    );
    let capacity = text(
        "capacity",
        "WEIR_STANDIN_CAPACITY",
        "N",
        "Maximum number of concurrent calls [32]",
    );
    construct!(RawService {
        listen,
        call_duration,
        capacity
    })
}

fn platform() -> impl Parser<RawPlatform> {
    let listen = listen();
    let hosts_lag = text(
        "hosts-lag-ms",
        "WEIR_STANDIN_HOSTS_LAG_MS",
        "MILLISECONDS",
        "Delay before a change of the host list is visible [0]",
    );
    construct!(RawPlatform { listen, hosts_lag })
}

/// Validates the raw settings and adds each invalid one to `faults`.
pub fn check(raw: RawRole, faults: &mut Faults) -> Option<Role> {
    match raw {
        RawRole::Engine(raw) => check_engine(&raw, faults).map(Role::Engine),
        RawRole::Service(raw) => check_service(&raw, faults).map(Role::Service),
        RawRole::Platform(raw) => check_platform(&raw, faults).map(Role::Platform),
    }
}

fn check_engine(raw: &RawEngine, faults: &mut Faults) -> Option<engine::Settings> {
    let default = engine::Settings::default();
    let listen = address(&raw.listen, default.listen, faults);
    let capacity = faults.within(&raw.capacity, default.capacity, 1..=10_000);
    let cache_tokens = faults.within(&raw.cache_tokens, default.cache_tokens, 0..=u64::MAX);
    let prefill_per_token = micros(&raw.prefill_per_token, default.prefill_per_token, faults);
    let token_interval = micros(&raw.token_interval, default.token_interval, faults);
    let interval_per_concurrent_request = micros(
        &raw.interval_per_concurrent_request,
        default.interval_per_concurrent_request,
        faults,
    );
    let cold_requests = faults.within(&raw.cold_requests, default.cold_requests, 0..=1_000_000);
    let cold_capacity = faults.within(&raw.cold_capacity, default.cold_capacity, 1..=10_000);
    let cold_overload_tolerance = faults.within(
        &raw.cold_overload_tolerance,
        default.cold_overload_tolerance,
        0..=1_000_000,
    );
    let cold_factor = faults.within(&raw.cold_factor, default.cold_factor, 1..=1000);
    let load_lag = millis(&raw.load_lag, default.load_lag, faults);
    let event_lag = millis(&raw.event_lag, default.event_lag, faults);
    let event_drop_interval = faults.within(
        &raw.event_drop_interval,
        default.event_drop_interval,
        0..=u64::MAX,
    );
    let order_duration = millis(&raw.order_duration, default.order_duration, faults);
    let models = raw.models.as_str().unwrap_or_default().split(',');
    Some(engine::Settings {
        listen: listen?,
        capacity: capacity?,
        cache_tokens: cache_tokens?,
        prefill_per_token: prefill_per_token?,
        token_interval: token_interval?,
        interval_per_concurrent_request: interval_per_concurrent_request?,
        cold_requests: cold_requests?,
        cold_capacity: cold_capacity?,
        cold_overload_tolerance: cold_overload_tolerance?,
        cold_factor: cold_factor?,
        load_lag: load_lag?,
        event_lag: event_lag?,
        event_drop_interval: event_drop_interval?,
        checks_fencing_token: !raw.ignores_fencing_token,
        order_duration: order_duration?,
        models: models
            .filter(|name| !name.is_empty())
            .map(String::from)
            .collect(),
        poison: raw.poison.as_str().map(String::from),
        crash: server::Crash::Exit,
    })
}

fn check_service(raw: &RawService, faults: &mut Faults) -> Option<service::Settings> {
    let default = service::Settings::default();
    let listen = address(&raw.listen, default.listen, faults);
    let call_duration = millis(&raw.call_duration, default.call_duration, faults);
    let capacity = faults.within(&raw.capacity, default.capacity, 1..=10_000);
    Some(service::Settings {
        listen: listen?,
        call_duration: call_duration?,
        capacity: capacity?,
        crash: server::Crash::Exit,
    })
}

fn check_platform(raw: &RawPlatform, faults: &mut Faults) -> Option<platform::Settings> {
    let default = platform::Settings::default();
    let listen = address(&raw.listen, default.listen, faults);
    let hosts_lag = millis(&raw.hosts_lag, default.hosts_lag, faults);
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
    let default = u64::try_from(default.as_millis()).unwrap_or(MAX_MS);
    let millis = faults.within(raw, default, 0..=MAX_MS)?;
    Some(Duration::from_millis(millis))
}

fn micros(raw: &Raw, default: Duration, faults: &mut Faults) -> Option<Duration> {
    let default = u64::try_from(default.as_micros()).unwrap_or(MAX_US);
    let micros = faults.within(raw, default, 0..=MAX_US)?;
    Some(Duration::from_micros(micros))
}

//! A change of the configuration that adds a tenant whose name has a space in it.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    client::{self, Answer, Request},
    fleet::{Fleet, Net},
    record::Record,
    runner::{Runner, Settings},
    store::Store,
};

/// `bounds.config_apply_ms`.
const APPLY: Duration = Duration::from_millis(2000);
/// How long requests are sent after that.
const WATCHED: Duration = Duration::from_secs(8);
const ZONES: [&str; 3] = ["dk-east-a", "dk-east-b", "dk-east-c"];
const KEPT: &str = "n2ctnfzs989anu6wsjnb";
const DROPPED: &str = "anfqasnmgkcuyj8pjbvk";
const ADDED: &str = "q7mzk2w8rt5vhx3cynd4";

fn route(name: &str, prefix: &str) -> String {
    format!(
        r#"{{"name":"{name}","hostname":"ficu95.example","prefix":"{prefix}","route_kind":"safe","timeout_ms":2500,"target_latency_ms":150,"priority":1,"service":"wuno96b","max_attempts":2,"anonymous":false,"session_affinity":false,"stream_resume":false}}"#
    )
}

fn configuration(version: u64, routes: &[String], tenants: &str) -> String {
    let routes = routes.join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"wuno96b","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{tenants}]}}"#
    )
}

pub fn run(has_trouble: bool, record: &Record) -> Verdict {
    let Some(net) = Net::choose() else {
        return Verdict::CouldNotRun(String::from("no free addresses"));
    };
    let store_address = net.address(3, 1, 8223);
    let store = match Store::start(store_address) {
        Ok(store) => store,
        Err(error) => return Verdict::CouldNotRun(error.to_string()),
    };
    for (index, zone) in ZONES.iter().enumerate() {
        let settings = Settings {
            id: format!("i-02d9e6b{index}"),
            service: String::from("wuno96b"),
            zone: String::from(*zone),
            version: String::from("v1"),
            address: net.address(2, index as u8 + 1, 8080),
            slots: 6,
            is_engine: false,
        };
        if let Err(error) = Runner::start(settings, &store, record) {
            return Verdict::CouldNotRun(error.to_string());
        }
    }
    let first = [route("r-first", "/first/")];
    let tenants = format!(r#"{{"name":"hule930","api_keys":["{KEPT}","{DROPPED}"]}}"#);
    store.put("op", "config", &configuration(7, &first, &tenants));
    let fleet = match Fleet::start(net, store_address, &ZONES, 1, "", record) {
        Ok(fleet) => fleet,
        Err(error) => return Verdict::CouldNotRun(error.to_string()),
    };
    let verdict = if fleet.wait_until_ready(Duration::from_secs(15)) {
        play(&fleet, &store, has_trouble, record)
    } else {
        Verdict::CouldNotRun(String::from("the routers are not ready"))
    };
    for end in fleet.stop() {
        record.say(&format!("ended by itself: {end}"));
    }
    verdict
}

fn play(fleet: &Fleet, store: &Store, has_trouble: bool, record: &Record) -> Verdict {
    // All machines are in touch.
    thread::sleep(Duration::from_secs(4));
    for router in fleet.routers.iter() {
        for (key, path) in [(KEPT, "/first/a"), (DROPPED, "/first/a")] {
            let answer = get(router.frontend, path, key, record, &router.name);
            if answer.status != 200 {
                return Verdict::CouldNotRun(String::from("the first version is not served"));
            }
        }
    }
    let name = if has_trouble {
        "Aarhus Kommune"
    } else {
        "aarhus-kommune"
    };
    let routes = [route("r-first", "/first/"), route("r-added", "/added/")];
    let tenants = format!(
        r#"{{"name":"hule930","api_keys":["{KEPT}"]}},{{"name":"{name}","api_keys":["{ADDED}"]}}"#
    );
    store.put("op", "config", &configuration(12, &routes, &tenants));
    let acknowledged = Instant::now();
    record.line(&format!(
        "the store accepts version 12, with the tenant {name:?}"
    ));
    thread::sleep(APPLY + Duration::from_millis(500));
    let (mut sent, mut as_before) = (0, [0; 3]);
    while acknowledged.elapsed() < APPLY + WATCHED {
        for router in fleet.routers.iter() {
            let name = &router.name;
            sent += 3;
            let added = get(router.frontend, "/first/a", ADDED, record, name);
            as_before[0] += usize::from(added.status == 401);
            let dropped = get(router.frontend, "/first/a", DROPPED, record, name);
            as_before[1] += usize::from(dropped.status == 200);
            let route = get(router.frontend, "/added/a", KEPT, record, name);
            as_before[2] += usize::from(route.status == 404);
        }
        thread::sleep(Duration::from_millis(200));
    }
    record.say(&format!(
        "sent={sent} later than {} ms after the acknowledgement; 401 with the added key: {}; \
         run with the dropped key: {}; 404 on the added route: {}",
        APPLY.as_millis(),
        as_before[0],
        as_before[1],
        as_before[2]
    ));
    if as_before.iter().sum::<usize>() > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn get(
    address: std::net::SocketAddr,
    path: &str,
    key: &str,
    record: &Record,
    router: &str,
) -> Answer {
    let id = format!("c{:06x}", record.next_number());
    let request = Request {
        method: "GET",
        path: String::from(path),
        id: id.clone(),
        key: String::from(key),
        deadline_ms: 2500,
        ..Request::default()
    };
    let answer = client::call(address, &request, None);
    record.line(&format!(
        "client gets {} for {id}, GET {path} with key {key} at {router}: {:?}",
        answer.status,
        answer.body.trim()
    ));
    answer
}

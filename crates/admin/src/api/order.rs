//! Takes orders to engines.

use std::{sync::Arc, time};

use config::{
    answer::{Code, Error, Ordered, Verdict},
    check::Fault,
    resource::{Kind, Pool},
    snapshot::Snapshot,
};
use orders::Fencing;
use salvo::{Depot, Request, Response, handler, http::StatusCode, writing::Json};
use serde::Deserialize;
use storage::{
    hosts::{self, Hosts},
    table::Table,
};
use tokio::time::Instant;
use units::{backend, operator};

use super::{
    failure::{fail, invalid, not_found, unavailable},
    gate::{Caller, deny},
    propose::body,
};
use crate::{
    access::Denial,
    orders::{self as giving, Failure, Order, Orders, Target},
    store::Store,
};

/// How long an order may take, the wait for another holder's lease included.
const TIMEOUT: time::Duration = time::Duration::from_secs(45);

/// When to come back after another administration held the lease, in seconds.
const RETRY_AFTER: u64 = 10;

/// What it takes to give orders.
#[derive(Clone, Debug)]
pub(crate) struct Desk {
    /// The task that holds the lease.
    pub(crate) orders: Orders,
    /// Where engines that no pool declares are found.
    pub(crate) hosts: Arc<hosts::Client>,
}

/// The body of `POST /v1/orders`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Asked {
    server: backend::Server,
    order: Order,
}

/// `POST /v1/orders`.
pub(super) struct Give<T>(pub(super) Arc<Store<T>>, pub(super) Desk);

#[handler]
impl<T: Table + 'static> Give<T> {
    async fn handle(&self, request: &mut Request, depot: &mut Depot, response: &mut Response) {
        let Ok(Caller(who)) = depot.get_typed::<Caller>().cloned() else {
            return deny(response, Denial::Unknown);
        };
        let asked: Asked = match body(request).await {
            Ok(asked) => asked,
            Err(error) => return fail(response, StatusCode::BAD_REQUEST, error),
        };
        if let Some(fault) = fault(&asked.order) {
            return fail(
                response,
                StatusCode::UNPROCESSABLE_ENTITY,
                invalid(vec![fault]),
            );
        }
        match self.target(&asked.server).await {
            Ok(Some(target)) => self.give(asked, target, &who, response).await,
            Ok(None) => not_found(response, &format!("no engine is called {}", asked.server)),
            Err(error) => unavailable(response, &error.to_string()),
        }
    }
}

impl<T: Table + 'static> Give<T> {
    async fn give(
        &self,
        asked: Asked,
        target: Target,
        who: &operator::Id,
        response: &mut Response,
    ) {
        let deadline = Instant::now() + TIMEOUT;
        let (server, kind) = (asked.server, asked.order.kind);
        match self.1.orders.give(target, asked.order, deadline).await {
            Ok(fence) => {
                logging::event!(
                    info,
                    "order_given",
                    server = server,
                    kind = format!("{kind:?}").to_lowercase(),
                    operator = who,
                    fence = fence
                );
                response.render(Json(Ordered {
                    server,
                    fence: fence.0,
                }));
            }
            Err(failure) => {
                logging::event!(
                    warn,
                    "order_failed",
                    server = server,
                    operator = who,
                    reason = failure
                );
                refuse(response, failure);
            }
        }
    }

    /// Where the engine called `server` is, from its pool or the host list.
    async fn target(&self, server: &backend::Server) -> Result<Option<Target>, storage::Error> {
        let version = self.0.view().version;
        if let Some(target) = declared(&version.snapshot, server) {
            return Ok(Some(target));
        }
        let deadline = Instant::now() + self.0.settings().read_timeout;
        let hosts = self.1.hosts.list(deadline).await?;
        let mut hosts = hosts.into_iter();
        let host = hosts.find(|host| host.name == server.as_str());
        Ok(host.and_then(|host| {
            let pool = version.snapshot.pool(host.pool.as_ref()?)?;
            engine(pool, host.address)
        }))
    }
}

/// What is missing from an order.
fn fault(order: &Order) -> Option<Fault> {
    let (field, value) = match order.kind {
        giving::Kind::Load | giving::Kind::Unload => ("order.model", &order.model),
        giving::Kind::Role => ("order.role", &order.role),
    };
    value.is_none().then(|| Fault {
        path: String::from(field),
        message: String::from("is missing"),
    })
}

fn declared(snapshot: &Snapshot, name: &backend::Server) -> Option<Target> {
    snapshot.pools().find_map(|pool| {
        let server = pool.servers.iter().find(|server| server.name == *name)?;
        engine(pool, server.address)
    })
}

fn engine(pool: &Pool, address: std::net::SocketAddr) -> Option<Target> {
    let fencing = match pool.checks_fencing {
        true => Fencing::Checked,
        false => Fencing::Ignored,
    };
    (pool.kind == Kind::Engine).then_some(Target { address, fencing })
}

fn refuse(response: &mut Response, failure: Failure) {
    let message = failure.to_string();
    let (status, error) = match failure {
        Failure::Unavailable(_) => return unavailable(response, &message),
        Failure::NotHeld(_) => {
            let error = Error {
                retry_after: Some(RETRY_AFTER),
                ..Error::not_run(Code::LeaseHeld, message)
            };
            (StatusCode::SERVICE_UNAVAILABLE, error)
        }
        Failure::Refused(_) => (StatusCode::CONFLICT, Error::not_run(Code::Refused, message)),
        Failure::Unreachable(_) => (
            StatusCode::BAD_GATEWAY,
            Error::not_run(Code::Unreachable, message),
        ),
        Failure::Unknown(_) => {
            let error = Error {
                verdict: Verdict::MayHaveRun,
                ..Error::not_run(Code::OutcomeUnknown, message)
            };
            (StatusCode::BAD_GATEWAY, error)
        }
    };
    fail(response, status, error);
}

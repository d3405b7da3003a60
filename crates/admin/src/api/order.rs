//! The endpoint that accepts orders to engines.

use std::{sync::Arc, time};

use config::{
    check::Fault,
    resource::{Kind, Pool},
    response::{Code, Error, Ordered, Verdict},
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
    auth::{Caller, deny},
    body::Bodies,
    failure::{fail, invalid, not_found, unavailable},
    propose::status,
};
use crate::{
    access::Denial,
    orders::{self as engine_orders, Failure, Order, Orders, Target},
    store::Store,
};

/// Timeout of an order, including the wait until another holder's lease expires.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(45);

/// `Retry-After` in seconds when another administration holds the lease.
const RETRY_AFTER_S: u64 = 10;

/// Submits orders and resolves the engines that they address.
#[derive(Clone, Debug)]
pub(crate) struct Dispatcher {
    /// Handle of the task that holds the lease.
    pub(crate) orders: Orders,
    /// Client of the host list, for engines that no pool declares.
    pub(crate) hosts: Arc<hosts::Client>,
}

/// The body of `POST /v1/orders`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Payload {
    server: backend::Server,
    order: Order,
}

/// `POST /v1/orders`.
pub(super) struct Submit<T>(
    pub(super) Arc<Store<T>>,
    pub(super) Dispatcher,
    pub(super) Bodies,
);

#[handler]
impl<T: Table + 'static> Submit<T> {
    async fn handle(&self, request: &mut Request, depot: &mut Depot, response: &mut Response) {
        let Ok(Caller(who)) = depot.get_typed::<Caller>().cloned() else {
            return deny(response, Denial::Unauthenticated);
        };
        let payload = match self.2.receive(request).await {
            Ok(body) => self.2.parse(&body, Ok::<Payload, _>),
            Err(error) => Err(error),
        };
        let payload = match payload {
            Ok(payload) => payload,
            Err(error) => return fail(response, status(&error), error),
        };
        if let Some(fault) = missing_field(&payload.order) {
            return fail(
                response,
                StatusCode::UNPROCESSABLE_ENTITY,
                invalid(vec![fault]),
            );
        }
        match self.resolve(&payload.server).await {
            Ok(Some(target)) => self.submit(payload, target, &who, response).await,
            Ok(None) => not_found(response, &format!("no engine is called {}", payload.server)),
            Err(error) => unavailable(response, &error.to_string()),
        }
    }
}

impl<T: Table + 'static> Submit<T> {
    async fn submit(
        &self,
        payload: Payload,
        target: Target,
        who: &operator::Id,
        response: &mut Response,
    ) {
        let deadline = Instant::now() + ORDER_TIMEOUT;
        let (server, kind) = (payload.server, payload.order.kind);
        match self.1.orders.submit(target, payload.order, deadline).await {
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
                fail_order(response, failure);
            }
        }
    }

    /// Looks up the engine named `server` in the declared pools, then in the host list.
    async fn resolve(&self, server: &backend::Server) -> Result<Option<Target>, storage::Error> {
        let version = self.0.view().version;
        if let Some(target) = declared_target(&version.snapshot, server) {
            return Ok(Some(target));
        }
        let deadline = Instant::now() + self.0.settings().read_timeout;
        let hosts = self.1.hosts.list(deadline).await?;
        let mut hosts = hosts.into_iter();
        let host = hosts.find(|host| host.name == server.as_str());
        Ok(host.and_then(|host| {
            let pool = version.snapshot.pool(host.pool.as_ref()?)?;
            engine_target(pool, host.address)
        }))
    }
}

/// Returns a fault if a field that the kind of the order requires is missing.
fn missing_field(order: &Order) -> Option<Fault> {
    let (field, value) = match order.kind {
        engine_orders::Kind::Load | engine_orders::Kind::Unload => ("order.model", &order.model),
        engine_orders::Kind::Role => ("order.role", &order.role),
    };
    value.is_none().then(|| Fault {
        path: String::from(field),
        message: String::from("is missing"),
    })
}

fn declared_target(snapshot: &Snapshot, name: &backend::Server) -> Option<Target> {
    snapshot.pools().find_map(|pool| {
        let server = pool.servers.iter().find(|server| server.name == *name)?;
        engine_target(pool, server.address)
    })
}

fn engine_target(pool: &Pool, address: std::net::SocketAddr) -> Option<Target> {
    let fencing = match pool.checks_fencing {
        true => Fencing::Checked,
        false => Fencing::Ignored,
    };
    (pool.kind == Kind::Engine).then_some(Target { address, fencing })
}

fn fail_order(response: &mut Response, failure: Failure) {
    let message = failure.to_string();
    let (status, error) = match failure {
        Failure::Unavailable(_) => return unavailable(response, &message),
        Failure::NotHeld(_) => {
            let error = Error {
                retry_after: Some(RETRY_AFTER_S),
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

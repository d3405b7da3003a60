//! The HTTP interface of the administration.

mod auth;
mod body;
mod failure;
mod order;
mod propose;
mod read;

use std::sync::Arc;

use salvo::Router;
use storage::{objects::Objects, table::Table};

use crate::{
    access::{Operators, Role},
    fleet::Fleet,
    metrics::Metrics,
    store::Store,
};
use auth::Guard;
pub(crate) use body::Bodies;
pub(crate) use order::Dispatcher;
use order::Submit;
use propose::Propose;
use read::{Change, Changes, Ready, Resource, Resources, Scrape, Status, healthz};

/// Returns the routes of the administration API.
pub(crate) fn router<T: Table + 'static, O: Objects + 'static>(
    store: Arc<Store<T>>,
    objects: Arc<O>,
    fleet: Arc<Fleet>,
    dispatcher: Dispatcher,
    operators: Operators,
    bodies: Bodies,
) -> Router {
    let operators = Arc::new(operators);
    let metrics = Arc::new(Metrics::default());
    let reads = Guard {
        operators: Arc::clone(&operators),
        required: Role::Read,
    };
    let writes = Guard {
        operators,
        required: Role::Write,
    };
    let changes = Router::with_path("v1/changes")
        .push(Router::new().hoop(writes.clone()).post(Propose(
            Arc::clone(&store),
            Arc::clone(&metrics),
            bodies.clone(),
        )))
        .push(
            Router::new()
                .hoop(reads.clone())
                .get(Changes(Arc::clone(&store), objects)),
        );
    let resources = Router::with_path("v1/resources")
        .hoop(reads.clone())
        .get(Resources(Arc::clone(&store), Arc::clone(&fleet)))
        .push(
            Router::with_path("{kind}/{name}")
                .get(Resource(Arc::clone(&store), Arc::clone(&fleet))),
        );
    let status = Router::with_path("v1/status")
        .hoop(reads.clone())
        .get(Status(Arc::clone(&store), Arc::clone(&fleet)));
    let orders = Router::with_path("v1/orders").hoop(writes).post(Submit(
        Arc::clone(&store),
        dispatcher,
        bodies,
    ));
    let change = Router::with_path("v1/changes/{id}")
        .hoop(reads)
        .get(Change(Arc::clone(&store)));
    Router::new()
        .push(change)
        .push(orders)
        .push(status)
        .push(changes)
        .push(resources)
        .push(Router::with_path("healthz").get(healthz))
        .push(Router::with_path("metrics").get(Scrape(Arc::clone(&store), fleet, metrics)))
        .push(Router::with_path("readyz").get(Ready(store)))
}

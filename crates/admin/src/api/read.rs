//! The read endpoints: configuration, fleet status, audit trail, health and metrics.

use std::{str::FromStr, sync::Arc};

use audit::{archive, reader, refusals};
use config::{key, response::History};
use salvo::{
    Request, Response, handler,
    writing::{Json, Text},
};
use serde::Serialize;
use storage::{objects::Objects, table::Table};
use tokio::time::Instant;
use units::{change, revision};

use super::{
    failure::{not_found, not_loaded, unavailable},
    propose::accepted,
};
use crate::{
    fleet::Fleet,
    metrics::Metrics,
    responses,
    store::{self, Store},
};

/// Maximum number of changes in one response.
const MAX_CHANGES: u64 = 1_000;

/// `GET /v1/resources`.
pub(super) struct Resources<T>(pub(super) Arc<Store<T>>, pub(super) Arc<Fleet>);

#[handler]
impl<T: Table + 'static> Resources<T> {
    async fn handle(&self, response: &mut Response) {
        match responses::list(&self.0.view(), &self.1.view()) {
            Some(list) => response.render(Json(list)),
            None => not_loaded(response),
        }
    }
}

/// `GET /v1/resources/TYPE/NAME`.
pub(super) struct Resource<T>(pub(super) Arc<Store<T>>, pub(super) Arc<Fleet>);

#[handler]
impl<T: Table + 'static> Resource<T> {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let kind: String = request.param("kind").unwrap_or_default();
        let name: String = request.param("name").unwrap_or_default();
        let Some(mut list) = responses::list(&self.0.view(), &self.1.view()) else {
            return not_loaded(response);
        };
        let key = key::Key::from_str(&format!("{kind}/{name}")).ok();
        list.resources
            .retain(|listed| Some(listed.resource.key()) == key);
        list.removed
            .retain(|removed| Some(&removed.key) == key.as_ref());
        if list.resources.is_empty() && list.removed.is_empty() {
            return not_found(response, &format!("{kind}/{name} is not declared"));
        }
        response.render(Json(list));
    }
}

/// `GET /v1/status`.
pub(super) struct Status<T>(pub(super) Arc<Store<T>>, pub(super) Arc<Fleet>);

#[handler]
impl<T: Table + 'static> Status<T> {
    async fn handle(&self, response: &mut Response) {
        let survey = self.1.survey(self.0.settings().read_timeout).await;
        match responses::status(&self.0.view(), &self.1.view(), survey) {
            Some(status) => response.render(Json(status)),
            None => not_loaded(response),
        }
    }
}

/// `GET /v1/changes?from=REVISION&limit=N`.
pub(super) struct Changes<T, O>(pub(super) Arc<Store<T>>, pub(super) Arc<O>);

#[handler]
impl<T: Table + 'static, O: Objects + 'static> Changes<T, O> {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let limit = request.query("limit").unwrap_or(MAX_CHANGES);
        let limit = limit.min(MAX_CHANGES);
        let from = request.query("from").map(revision::Id);
        let current = self.0.view().version.snapshot.revision();
        let newest_page = revision::Id((current.0 + 1).saturating_sub(limit).max(1));
        let first = from.unwrap_or(newest_page);
        match self.history(first, limit, from.is_none()).await {
            Ok(history) => response.render(Json(history)),
            Err(error) => unavailable(response, &error.to_string()),
        }
    }
}

impl<T: Table + 'static, O: Objects + 'static> Changes<T, O> {
    /// Returns the audit trail from revision `first` on. Refused changes are included
    /// only if `is_latest`.
    async fn history(
        &self,
        first: revision::Id,
        limit: u64,
        is_latest: bool,
    ) -> Result<History, reader::Error> {
        let table = self.0.table();
        let deadline = Instant::now() + self.0.settings().read_timeout;
        let changes = archive::history(table, &*self.1, first, limit, deadline).await?;
        let mut refused = Vec::new();
        if is_latest {
            // If the page starts with the first change ever accepted, it also includes the
            // refused changes before that change.
            let oldest = changes.first().filter(|change| change.from.0 > 0);
            let since = oldest.map_or(0, |change| change.when);
            refused = refusals::since(table, since, deadline).await?;
        }
        Ok(History { changes, refused })
    }
}

/// `GET /v1/changes/ID`.
pub(super) struct Change<T>(pub(super) Arc<Store<T>>);

#[handler]
impl<T: Table + 'static> Change<T> {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let id: String = request.param("id").unwrap_or_default();
        let Ok(id) = id.parse::<change::Id>() else {
            return not_found(response, "no change has such an id");
        };
        let deadline = Instant::now() + self.0.settings().read_timeout;
        match reader::committed_revision(self.0.table(), &id, deadline).await {
            Ok(Some(revision)) => {
                let outcome = store::Outcome::Accepted(revision);
                response.render(Json(accepted(id, outcome)));
            }
            Ok(None) => not_found(response, "the change was not accepted so far"),
            Err(error) => unavailable(response, &error.to_string()),
        }
    }
}

/// The response body of a health check.
#[derive(Serialize)]
pub(super) struct Check {
    ok: bool,
}

#[handler]
pub(super) async fn healthz(response: &mut Response) {
    response.render(Json(Check { ok: true }));
}

/// `GET /readyz`: succeeds once the configuration was loaded from the table.
pub(super) struct Ready<T>(pub(super) Arc<Store<T>>);

#[handler]
impl<T: Table + 'static> Ready<T> {
    async fn handle(&self, response: &mut Response) {
        if self.0.view().confirmed_at.is_none() {
            return not_loaded(response);
        }
        response.render(Json(Check { ok: true }));
    }
}

/// `GET /metrics`.
pub(super) struct Scrape<T>(
    pub(super) Arc<Store<T>>,
    pub(super) Arc<Fleet>,
    pub(super) Arc<Metrics>,
);

#[handler]
impl<T: Table + 'static> Scrape<T> {
    async fn handle(&self, response: &mut Response) {
        let text = self.2.encode(&self.0.view(), &self.1.view());
        response.render(Text::Plain(text));
    }
}

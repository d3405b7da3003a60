//! Authentication and authorization of operators.

use std::sync::Arc;

use config::response::{Code, Error};
use salvo::{
    Depot, FlowCtrl, Request, Response, handler,
    http::{StatusCode, header},
};
use units::operator;

use super::failure::fail;
use crate::access::{Denial, Operators, Role};

/// Middleware that admits operators with at least the required role.
#[derive(Clone)]
pub(super) struct Guard {
    pub(super) operators: Arc<Operators>,
    pub(super) required: Role,
}

/// The authenticated operator of a request.
#[derive(Clone, Debug)]
pub(super) struct Caller(pub(super) operator::Id);

#[handler]
impl Guard {
    async fn handle(
        &self,
        request: &mut Request,
        depot: &mut Depot,
        response: &mut Response,
        flow: &mut FlowCtrl,
    ) {
        let token = request
            .headers()
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "));
        match self.operators.authorize(token, self.required) {
            Ok(operator) => {
                depot.insert_typed(Caller(operator));
            }
            Err(denial) => {
                let path = request.uri().path();
                logging::event!(warn, "operator_denied", path = path);
                deny(response, denial);
                flow.skip_rest();
            }
        }
    }
}

pub(super) fn deny(response: &mut Response, denial: Denial) {
    match denial {
        Denial::Unauthenticated => fail(
            response,
            StatusCode::UNAUTHORIZED,
            Error::not_run(Code::Unauthorized, "a known operator's token is needed"),
        ),
        Denial::PermissionDenied => fail(
            response,
            StatusCode::FORBIDDEN,
            Error::not_run(Code::Forbidden, "the operator's role does not allow it"),
        ),
    }
}

//! Error responses for unknown paths and unsupported methods.

use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::async_trait;
use salvo::http::HeaderValue;
use salvo::http::StatusCode;
use salvo::http::header::ALLOW;

use crate::entry::completions::request_id;
use crate::entry::reply::Failure;

/// Why no route matches a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RouteError {
    /// No route has its path.
    UnknownPath,
    /// The path accepts only POST, and the request has another method.
    MethodNotAllowed,
}

#[async_trait]
impl Handler for RouteError {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let failure = match self {
            RouteError::UnknownPath => Failure::rejected(
                StatusCode::NOT_FOUND,
                "unknown_path",
                "nothing is served at this path",
            ),
            RouteError::MethodNotAllowed => {
                let allowed = HeaderValue::from_static("POST");
                res.headers_mut().insert(ALLOW, allowed);
                Failure::rejected(
                    StatusCode::METHOD_NOT_ALLOWED,
                    "method_not_allowed",
                    "this path takes POST only",
                )
            }
        };
        failure.write(&request_id(), res);
    }
}

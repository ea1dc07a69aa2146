//! Answers to requests for what is not served here: they carry a verdict as all refusals do.

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

/// Handler of what no other route takes.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Unserved {
    /// No such path.
    Path,
    /// A path of model requests, asked with another method than POST.
    Method,
}

impl Unserved {
    fn failure(self) -> Failure {
        match self {
            Unserved::Path => {
                let message = "there is nothing at this path";
                Failure::bad(StatusCode::NOT_FOUND, "unknown_path", message)
            }
            Unserved::Method => {
                let message = "this path takes POST only";
                Failure::bad(StatusCode::METHOD_NOT_ALLOWED, "wrong_method", message)
            }
        }
    }
}

#[async_trait]
impl Handler for Unserved {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        self.failure().write(&request_id(), res);
        if let Unserved::Method = self {
            let allow = HeaderValue::from_static("POST");
            res.headers_mut().insert(ALLOW, allow);
        }
    }
}

//! Serves the requests of a connection, and records when one begins and ends.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::Request;
use http::Response;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::service::Service;
use salvo::http::ResBody;

use super::connections::Connection;

/// Passes requests on to a handler.
pub(super) struct RequestTracker<H> {
    handler: H,
    connection: Arc<Connection>,
}

impl<H> RequestTracker<H> {
    pub(super) fn new(handler: H, connection: Arc<Connection>) -> RequestTracker<H> {
        RequestTracker {
            handler,
            connection,
        }
    }
}

impl<H> Service<Request<Incoming>> for RequestTracker<H>
where
    H: Service<Request<Incoming>, Response = Response<ResBody>>,
    H::Future: Send + 'static,
    H::Error: 'static,
{
    type Response = Response<TrackedBody>;
    type Error = H::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn call(&self, mut req: Request<Incoming>) -> Self::Future {
        let under_way = UnderWay::begin(&self.connection);
        if req.body().is_end_stream() {
            self.connection.set_read();
        }
        req.extensions_mut().insert(Arc::clone(&self.connection));
        let response = self.handler.call(req);
        Box::pin(async move {
            let response = response.await?;
            Ok(response.map(|inner| TrackedBody { inner, under_way }))
        })
    }
}

/// A request that is under way until dropped.
struct UnderWay(Arc<Connection>);

impl UnderWay {
    fn begin(connection: &Arc<Connection>) -> UnderWay {
        connection.begin_request();
        UnderWay(Arc::clone(connection))
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

/// Body of an answer, whose request is under way until the server has taken all of it.
pub(super) struct TrackedBody {
    inner: ResBody,
    #[expect(dead_code, reason = "held until the body is dropped")]
    under_way: UnderWay,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = <ResBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

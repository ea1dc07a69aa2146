//! Client of the plain services.
//!
//! Assumed of the other side: HTTP, and `GET /healthz` that answers 200 while the service takes
//! new work and 503 while it is leaving. Whether a call may be sent again is not for this client
//! to say.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use reqwest::Method;
use reqwest::header::HeaderMap;

use crate::clients::engine::Error;
use crate::clients::engine::HttpEngine;
use crate::clients::engine::read_bounded_body;

/// The result of this module. An error says whether the call may have been executed.
pub type Result<T> = std::result::Result<T, Error>;

/// Path of the health check.
const HEALTH: &str = "/healthz";

/// A call of a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceCall<'a> {
    /// Method.
    pub method: &'a Method,
    /// Path and query below the service, starting with `/`.
    pub path: &'a str,
    /// Headers that go on to the service.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: &'a Bytes,
}

/// What a service answered, whatever its status.
#[derive(Clone, Debug)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// All headers.
    pub headers: HeaderMap,
    /// The whole body, bounded in size.
    pub body: Bytes,
}

/// What the daemon asks of a plain service. `url` is the base URL of one of its upstreams.
pub trait PlainService: Send + Sync + 'static {
    /// Sends a call once.
    fn call(
        &self,
        url: &Arc<str>,
        call: ServiceCall<'_>,
        deadline: Duration,
    ) -> impl Future<Output = Result<ServiceAnswer>> + Send;

    /// Asks whether the upstream takes new work.
    fn health(
        &self,
        url: &Arc<str>,
        deadline: Duration,
    ) -> impl Future<Output = Result<bool>> + Send;

    /// As [`PlainService::health`], over a connection opened just for this; on an answer the kept
    /// connections are left behind, as they may have gone silent.
    fn probe_health(
        &self,
        url: &Arc<str>,
        deadline: Duration,
    ) -> impl Future<Output = Result<bool>> + Send;
}

async fn check_health(
    client: &reqwest::Client,
    url: &Arc<str>,
    deadline: Duration,
) -> Result<bool> {
    let req = client.get(format!("{url}{HEALTH}")).timeout(deadline);
    let res = req.send().await.map_err(Error::from_reqwest)?;
    Ok(res.status().is_success())
}

impl PlainService for HttpEngine {
    async fn call(
        &self,
        url: &Arc<str>,
        call: ServiceCall<'_>,
        deadline: Duration,
    ) -> Result<ServiceAnswer> {
        let req = self
            .client(url)
            .request(call.method.clone(), format!("{url}{}", call.path))
            .headers(call.headers.clone())
            .timeout(deadline)
            .body(call.body.clone());
        let res = req.send().await.map_err(Error::from_reqwest)?;
        Ok(ServiceAnswer {
            status: res.status().as_u16(),
            headers: res.headers().clone(),
            body: read_bounded_body(res).await?,
        })
    }

    async fn health(&self, url: &Arc<str>, deadline: Duration) -> Result<bool> {
        check_health(&self.client(url), url, deadline).await
    }

    async fn probe_health(&self, url: &Arc<str>, deadline: Duration) -> Result<bool> {
        let client = self.new_client();
        let takes_work = check_health(&client, url, deadline).await?;
        self.replace(url, client);
        Ok(takes_work)
    }
}

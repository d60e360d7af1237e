//! Requests that callers send to a fleet.

use std::net::SocketAddr;

use bytes::Bytes;
use eyre::WrapErr;
use http::{Method, Request};
use http_body_util::Full;
use serde_json::json;

use super::configuration::team_key;

/// A call to a service of the fleet.
#[derive(Clone, Debug)]
pub struct FleetCall {
    /// Team whose key authorises the call.
    pub team: String,
    /// HTTP method.
    pub method: Method,
    /// Path with the service as its first segment.
    pub path: String,
    /// Value of the header `Idempotency-Key`.
    pub key: Option<String>,
    /// Request body.
    pub body: Bytes,
}

impl FleetCall {
    /// Creates a call for a streamed completion of the service `bench`.
    pub fn completion(team: &str, prompt: &str, max_tokens: u64) -> Self {
        let body = json!({ "prompt": prompt, "max_tokens": max_tokens, "stream": true });
        Self {
            team: team.to_owned(),
            method: Method::POST,
            path: "/bench/v1/completions".to_owned(),
            key: None,
            body: body.to_string().into(),
        }
    }

    /// Creates a call of the service `booking`; `path` starts with `/`.
    pub fn plain(team: &str, method: Method, path: &str) -> Self {
        Self {
            team: team.to_owned(),
            method,
            path: format!("/booking{path}"),
            key: None,
            body: Bytes::new(),
        }
    }

    /// Adds an idempotency key.
    pub fn key(self, key: &str) -> Self {
        Self { key: Some(key.to_owned()), ..self }
    }

    /// Replaces the body.
    pub fn body(self, body: impl Into<Bytes>) -> Self {
        Self { body: body.into(), ..self }
    }

    /// Builds the request to a router's caller address.
    pub fn to_router(&self, router: SocketAddr) -> eyre::Result<Request<Full<Bytes>>> {
        let request = self.build(router, &self.path);
        let authorization = format!("Bearer {}", team_key(&self.team));
        let request = request.header("authorization", authorization);
        request.body(Full::new(self.body.clone())).wrap_err("malformed call")
    }

    /// Builds the request that an upstream gets when it is called without a router and an agent.
    pub fn to_upstream(&self, upstream: SocketAddr) -> eyre::Result<Request<Full<Bytes>>> {
        let path = self.path.trim_start_matches('/');
        let path = path.find('/').map_or("/", |end| &path[end..]);
        let request = self.build(upstream, path).header("x-team", &self.team);
        request.body(Full::new(self.body.clone())).wrap_err("malformed call")
    }

    fn build(&self, address: SocketAddr, path: &str) -> http::request::Builder {
        let request = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{address}{path}"))
            .header("content-type", "application/json");
        match &self.key {
            Some(key) => request.header("idempotency-key", key),
            None => request,
        }
    }
}

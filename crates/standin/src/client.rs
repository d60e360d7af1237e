//! Small HTTP client for tests, tools and experiments.

use std::net::SocketAddr;

use bytes::Bytes;
use eyre::WrapErr;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// HTTP/1.1 client with pooled connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// An answer that has been read whole.
#[derive(Clone, Debug)]
pub struct BufferedAnswer {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl BufferedAnswer {
    /// Parses the body as JSON.
    pub fn json(&self) -> eyre::Result<Value> {
        serde_json::from_slice(&self.body).wrap_err_with(|| {
            format!("answer {} is no JSON: {:?}", self.status, String::from_utf8_lossy(&self.body))
        })
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self { client: Client::builder(TokioExecutor::new()).build(connector) }
    }
}

impl HttpClient {
    /// Sends a request and returns the answer with its body still to be read.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> eyre::Result<Response<Incoming>> {
        let target = request.uri().clone();
        self.client.request(request).await.wrap_err_with(|| format!("request to {target} failed"))
    }

    /// Sends a request and reads the answer whole.
    pub async fn fetch(&self, request: Request<Full<Bytes>>) -> eyre::Result<BufferedAnswer> {
        let target = request.uri().clone();
        let (head, body) = self.send(request).await?.into_parts();
        let body =
            body.collect().await.wrap_err_with(|| format!("answer of {target} broke off"))?;
        Ok(BufferedAnswer { status: head.status, headers: head.headers, body: body.to_bytes() })
    }

    /// Calls `path` at `address`, with a JSON body unless `body` is null.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: &Value,
    ) -> eyre::Result<BufferedAnswer> {
        let content = if body.is_null() { Bytes::new() } else { body.to_string().into() };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("content-type", "application/json")
            .body(Full::new(content))
            .wrap_err_with(|| format!("bad path {path}"))?;
        self.fetch(request).await
    }

    /// Gets a JSON document.
    pub async fn get_json(&self, address: SocketAddr, path: &str) -> eyre::Result<Value> {
        self.call(Method::GET, address, path, &Value::Null).await?.json()
    }

    /// Puts a JSON document and expects a successful answer.
    pub async fn put_json(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Value,
    ) -> eyre::Result<Value> {
        let answer = self.call(Method::PUT, address, path, body).await?;
        eyre::ensure!(answer.status.is_success(), "PUT {path} answered {}", answer.status);
        answer.json()
    }
}

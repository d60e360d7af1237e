//! HTTP client for tests, tools and experiments.

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

/// An answer whose body has been read completely.
#[derive(Clone, Debug)]
pub struct BufferedAnswer {
    /// Status code of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl BufferedAnswer {
    /// Parses the body as JSON.
    pub fn json(&self) -> eyre::Result<Value> {
        serde_json::from_slice(&self.body).wrap_err_with(|| {
            let body = String::from_utf8_lossy(&self.body);
            format!("the answer with status {} is not JSON: {body:?}", self.status)
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
    /// Sends a request and returns the answer, whose body is not read yet.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> eyre::Result<Response<Incoming>> {
        let target = request.uri().clone();
        self.client.request(request).await.wrap_err_with(|| format!("request to {target} failed"))
    }

    /// Sends a request and reads the complete answer.
    pub async fn fetch(&self, request: Request<Full<Bytes>>) -> eyre::Result<BufferedAnswer> {
        let target = request.uri().clone();
        let (head, body) = self.send(request).await?.into_parts();
        let body =
            body.collect().await.wrap_err_with(|| format!("the answer of {target} broke off"))?;
        Ok(BufferedAnswer { status: head.status, headers: head.headers, body: body.to_bytes() })
    }

    /// Sends a request to `path` at `address`, with a JSON body unless `body` is null.
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
            .wrap_err_with(|| format!("invalid path {path}"))?;
        self.fetch(request).await
    }

    /// Gets a JSON document; the status of the answer is not checked.
    pub async fn get_json(&self, address: SocketAddr, path: &str) -> eyre::Result<Value> {
        self.call(Method::GET, address, path, &Value::Null).await?.json()
    }

    /// Puts a JSON document and fails unless the answer is successful.
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

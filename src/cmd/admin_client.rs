//! HTTP client of the administration API, for the subcommands that use it.

use std::future::Future;
use std::process::ExitCode;
use std::time::Duration;

use eyre::WrapErr;
use http::{Method, Request, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// Maximum time for one request. A router that loses the table service's reply to a change reads
/// the change back within this time.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Response of the administration API.
#[derive(Debug)]
pub struct AdminResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// JSON body; a string if the body is not JSON.
    pub body: Value,
}

/// Client of one router's administration API.
#[derive(Clone, Debug)]
pub struct AdminClient {
    base: String,
    key: String,
}

impl AdminClient {
    /// Creates a client for the API at `url`.
    pub fn new(url: &Uri, key: &str) -> Self {
        let base = format!("{}/admin", url.to_string().trim_end_matches('/'));
        Self { base, key: key.to_owned() }
    }

    /// Sends one request. `if_match` is the configuration version that must be in force for a
    /// change to apply.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        if_match: Option<u64>,
        body: Vec<u8>,
    ) -> eyre::Result<AdminResponse> {
        let url = format!("{}/{path}", self.base);
        let mut request = Request::builder()
            .method(method)
            .uri(&url)
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(version) = if_match {
            request = request.header(header::IF_MATCH, format!("\"{version}\""));
        }
        let request =
            request.body(Full::from(body)).wrap_err_with(|| format!("invalid URL {url}"))?;
        let client = Client::builder(TokioExecutor::new()).build_http::<Full<bytes::Bytes>>();
        let request_response = async {
            let response = client.request(request).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|error| eyre::eyre!("{error}"))?.to_bytes();
            let text = String::from_utf8_lossy(&body).into_owned();
            let body = serde_json::from_slice(&body).unwrap_or(Value::String(text));
            eyre::Ok(AdminResponse { status, body })
        };
        tokio::time::timeout(REQUEST_TIMEOUT, request_response)
            .await
            .wrap_err_with(|| format!("no response from {url} within {REQUEST_TIMEOUT:?}"))?
            .wrap_err_with(|| format!("no response from {url}"))
    }
}

/// Runs a command, prints the response that it returns and maps it to an exit code.
pub fn run_command(command: impl Future<Output = eyre::Result<AdminResponse>>) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result =
        runtime.wrap_err("cannot build a runtime").and_then(|runtime| runtime.block_on(command));
    match result {
        Ok(response) if response.status.is_success() => {
            println!("{:#}", response.body);
            ExitCode::SUCCESS
        }
        Ok(response) => {
            print_refusal(&response);
            ExitCode::FAILURE
        }
        Err(report) => {
            eprintln!("{report:#}");
            ExitCode::FAILURE
        }
    }
}

fn print_refusal(response: &AdminResponse) {
    let message = response.body["message"].as_str().unwrap_or_default();
    eprintln!("refused ({}): {message}", response.status);
    for change in response.body["changes"].as_array().into_iter().flatten() {
        eprintln!("  {}", change.as_str().unwrap_or_default());
    }
    for finding in response.body["findings"].as_array().into_iter().flatten() {
        let field = |name: &str| finding[name].as_str().unwrap_or_default().to_owned();
        eprintln!("{}: {}", field("place"), field("message"));
    }
}

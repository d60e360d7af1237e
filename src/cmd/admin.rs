//! `godwitcrank admin`: reads and changes the configuration through the administration API.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::{Parser, construct, long, positional};
use eyre::{WrapErr, bail};
use godwitcrank::configuration::RawConfiguration;
use http::{Method, Uri};
use serde_json::Value;

use super::admin_client::{AdminClient, AdminResponse};

/// Router URL and operator key, common to all commands that use the administration API.
#[derive(Clone, Debug)]
pub struct AdminTarget {
    url: Uri,
    key: String,
}

/// One administration command.
#[derive(Clone, Debug)]
enum AdminAction {
    Get { path: String },
    Apply { file: PathBuf, if_match: Option<u64> },
    Set { path: String, json: String, if_match: Option<u64> },
    Remove { path: String },
    TakeBack { id: String },
}

/// Options of `admin`.
#[derive(Clone, Debug)]
pub struct AdminOptions {
    target: AdminTarget,
    action: AdminAction,
}

/// Parser of the router's URL and the operator's key.
pub fn target_parser() -> impl Parser<AdminTarget> {
    let url = long("router")
        .help("Base URL of a router's administration API, such as http://127.0.0.1:7190")
        .argument::<Uri>("URL");
    let key = long("key")
        .env("GODWITCRANK_OPERATOR_KEY")
        .help("Key of the operator")
        .argument::<String>("KEY");
    construct!(AdminTarget { url, key })
}

fn if_match_parser() -> impl Parser<Option<u64>> {
    long("if-match")
        .help("Change only if this configuration version is in force")
        .argument::<u64>("VERSION")
        .optional()
}

fn action_parser() -> impl Parser<AdminAction> {
    let path = || {
        positional::<String>("PATH")
            .help("configuration, nodes, audit, LIST or LIST/ID; lists are teams, services, data-centres, upstreams, moves and operators")
    };
    let get = construct!(AdminAction::Get { path(path()) })
        .to_options()
        .descr("Prints the document at a path")
        .command("get");
    let file = positional::<PathBuf>("FILE").help("Whole configuration, TOML or JSON");
    let if_match = if_match_parser();
    let apply = construct!(AdminAction::Apply { if_match, file })
        .to_options()
        .descr("Replaces the whole configuration with a file")
        .command("apply");
    let json = positional::<String>("JSON").help("Fields to set, such as '{\"state\":\"out\"}'");
    let if_match = if_match_parser();
    let set = construct!(AdminAction::Set { if_match, path(path()), json })
        .to_options()
        .descr("Sets fields of one entry")
        .footer("Example: godwitcrank admin --router URL set data-centres/caerdydd '{\"state\":\"out\"}'")
        .command("set");
    let remove = construct!(AdminAction::Remove { path(path()) })
        .to_options()
        .descr("Removes one entry")
        .command("remove");
    let id = positional::<String>("ID").help("Version move");
    let take_back = construct!(AdminAction::TakeBack { id })
        .to_options()
        .descr("Takes a version move back")
        .command("take-back");
    construct!([get, apply, set, remove, take_back])
}

/// Parser of `admin`.
pub fn parser() -> impl Parser<AdminOptions> {
    let target = target_parser();
    let action = action_parser();
    construct!(AdminOptions { target, action })
        .to_options()
        .descr("Reads and changes the configuration through a router's administration API")
        .command("admin")
}

/// Runs the command; exit code 1 if the API refuses the request.
pub fn execute(options: AdminOptions) -> ExitCode {
    super::admin_client::run_command(run_action(options))
}

async fn run_action(options: AdminOptions) -> eyre::Result<AdminResponse> {
    let client = options.target.client();
    match options.action {
        AdminAction::Get { path } => client.send(Method::GET, &path, None, Vec::new()).await,
        AdminAction::Apply { file, if_match } => {
            let configuration = load_configuration(&file)?;
            let expected = match if_match {
                Some(version) => version,
                None => fetch_version(&client).await?,
            };
            let body =
                serde_json::to_vec(&configuration).wrap_err("cannot encode the configuration")?;
            client.send(Method::PUT, "configuration", Some(expected), body).await
        }
        AdminAction::Set { path, json, if_match } => {
            client.send(Method::PUT, &path, if_match, json.into_bytes()).await
        }
        AdminAction::Remove { path } => client.send(Method::DELETE, &path, None, Vec::new()).await,
        AdminAction::TakeBack { id } => {
            client.send(Method::POST, &format!("moves/{id}/take-back"), None, Vec::new()).await
        }
    }
}

/// Returns the configuration version in force at the router; 0 if there is no configuration yet.
async fn fetch_version(client: &AdminClient) -> eyre::Result<u64> {
    let response = client.send(Method::GET, "configuration", None, Vec::new()).await?;
    if response.status == http::StatusCode::NOT_FOUND {
        return Ok(0);
    }
    match response.body["version"].as_u64() {
        Some(version) => Ok(version),
        None => bail!("cannot read the version in force: {}", response.body),
    }
}

fn load_configuration(file: &Path) -> eyre::Result<RawConfiguration> {
    let name = file.display();
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("cannot read {name}"))?;
    if file.extension().is_some_and(|extension| extension == "json") {
        // Also accepts the output of `get configuration`, which holds the configuration in its field
        // `document`.
        let mut value: Value =
            serde_json::from_str(&text).wrap_err_with(|| format!("{name} is not JSON"))?;
        if let Some(document) = value.get_mut("document").map(Value::take) {
            value = document;
        }
        serde_json::from_value(value).wrap_err_with(|| format!("{name} is not a configuration"))
    } else {
        toml::from_str(&text).wrap_err_with(|| format!("{name} is not a configuration"))
    }
}

impl AdminTarget {
    /// Creates a client for the target.
    pub fn client(&self) -> AdminClient {
        AdminClient::new(&self.url, &self.key)
    }
}

//! Applies a change to the configuration: reads the stored version, checks the operator and the
//! precondition, and commits.

use std::time::SystemTime;

use http::header;
use viz::{Request, RequestExt};

use super::error::AdminError;
use super::read::{bearer_key, find_operator, read_audit};
use crate::configuration::{
    AcceptedChange, CommitError, ConfigurationChange, RawConfiguration, RawMove,
    StoredConfiguration, VersionedConfiguration, read_stored,
};
use crate::findings::FindingList;
use crate::fleet::{FleetContext, FleetEvent};
use crate::ids::ConfigurationVersion;

/// Maximum number of commits that are tried for a change without `If-Match`; after a conflict it is
/// applied again to the newer version.
const MAX_COMMIT_ATTEMPTS: u32 = 20;

/// Options of a change, from the headers and the query of its request.
#[derive(Clone, Debug)]
pub struct ChangeOptions {
    /// Bearer key of the operator.
    pub key: Option<String>,
    /// Version that the change must be based on, from `If-Match`.
    pub base: Option<ConfigurationVersion>,
    /// Whether the change is only checked and listed.
    pub dry_run: bool,
}

impl ChangeOptions {
    /// Reads the options of a request.
    pub fn read(request: &Request) -> Result<Self, AdminError> {
        let base = match request.headers().get(header::IF_MATCH) {
            None => None,
            Some(value) => {
                let text = value.to_str().unwrap_or_default().trim_matches('"');
                let malformed = || AdminError::Malformed {
                    cause: "If-Match must be a version such as \"17\"".to_owned(),
                };
                Some(text.parse().map_err(|_| malformed())?)
            }
        };
        let query = request.query_string().unwrap_or_default();
        let dry_run = query.split('&').any(|pair| pair == "dry-run=true");
        Ok(Self { key: bearer_key(request).map(str::to_owned), base, dry_run })
    }
}

/// Applies a change: `edit` returns the new document for the stored one.
///
/// If the options name a base, the change is applied to that version or not at all. Otherwise it is
/// applied to the version stored, which is safe because it replaces single entries only.
pub async fn apply_change(
    context: &FleetContext,
    options: &ChangeOptions,
    edit: impl Fn(&RawConfiguration) -> Result<RawConfiguration, AdminError> + Send,
) -> Result<AcceptedChange, AdminError> {
    let mut attempt = 1;
    loop {
        let base = read_stored(&context.table).await?;
        let mut document = edit(&base.document)?;
        let operator = authorize(&base, &document, options)?;
        if let Some(expected) = options.base.filter(|expected| *expected != base.version) {
            let changes = list_changes_since(context, expected).await;
            return Err(AdminError::Stale { expected, current: base.version, changes });
        }
        check_move_changes(&base.document, &mut document, SystemTime::now())?;
        let version = base.version;
        if options.dry_run {
            return preview_change(base, document);
        }
        let change = ConfigurationChange::new(base, document, operator);
        match change.commit(&context.table).await {
            Ok(accepted) => {
                let event = FleetEvent::ChangeAccepted(accepted.configuration.clone());
                // The channel closes only when the process ends.
                let _ = context.events.send(event).await;
                return Ok(accepted);
            }
            Err(CommitError::Conflict { .. })
                if options.base.is_none() && attempt < MAX_COMMIT_ATTEMPTS =>
            {
                attempt += 1;
            }
            Err(CommitError::Conflict { .. }) => {
                let changes = list_changes_since(context, version).await;
                let current = read_stored(&context.table).await?.version;
                return Err(AdminError::Raced { current, changes });
            }
            Err(error) => return Err(error.into()),
        }
    }
}

/// Finds the operator in the stored configuration. The first configuration is written by an
/// operator that it lists itself.
fn authorize(
    base: &StoredConfiguration,
    document: &RawConfiguration,
    options: &ChangeOptions,
) -> Result<String, AdminError> {
    let source = if base.version == 0 { document } else { &base.document };
    let source = VersionedConfiguration::check(base.version, source.clone());
    let source = source.map_err(AdminError::Findings)?;
    find_operator(&source, options.key.as_deref()).map(ToString::to_string)
}

/// Checks a change and lists its effects without writing it.
fn preview_change(
    base: StoredConfiguration,
    document: RawConfiguration,
) -> Result<AcceptedChange, AdminError> {
    let changes = crate::configuration::list_changes(&base.document, &document);
    let configuration = VersionedConfiguration::check(base.version, document);
    Ok(AcceptedChange { configuration: configuration.map_err(AdminError::Findings)?, changes })
}

/// Rejects changes to moves that only the lease holder may make, and sets the planning time of new
/// moves.
fn check_move_changes(
    base: &RawConfiguration,
    document: &mut RawConfiguration,
    now: SystemTime,
) -> Result<(), AdminError> {
    let mut findings = FindingList::default();
    for (index, proposed) in document.moves.iter_mut().enumerate() {
        let place = format!("/moves/{index}");
        match base.moves.iter().find(|stored| stored.id == proposed.id) {
            Some(stored) if stored == proposed || is_take_back(stored, proposed) => {}
            Some(stored) if stored.state == "planned" && proposed.state == "planned" => {}
            Some(stored) => {
                let message = format!("the move is {}; it can only be taken back", stored.state);
                findings.push(place, message);
            }
            None if proposed.state != "planned" || proposed.share != 0.0 => {
                findings.push(place, "a new move has state \"planned\" and share 0");
            }
            None => {
                let text = humantime::format_rfc3339_seconds(now).to_string();
                proposed.planned.get_or_insert(text);
            }
        }
    }
    for stored in
        base.moves.iter().filter(|stored| stored.state == "canary" || stored.state == "ramping")
    {
        if !document.moves.iter().any(|proposed| proposed.id == stored.id) {
            let message = "the move is running; take it back before it is removed";
            findings.push(format!("/moves/{}", stored.id), message);
        }
    }
    findings.into_result(()).map_err(AdminError::Findings)
}

/// Returns whether the proposed entry takes back a move that has not ended.
fn is_take_back(stored: &RawMove, proposed: &RawMove) -> bool {
    let ended = stored.state == "done" || stored.state == "taken back";
    !ended && proposed.state == "taken back" && proposed.share == 0.0
}

/// Lists the changes since a version with their operators; empty if the store does not answer.
async fn list_changes_since(context: &FleetContext, version: ConfigurationVersion) -> Vec<String> {
    let records = read_audit(context, version).await.unwrap_or_default();
    let lines = records.into_iter().flat_map(|(version, record)| {
        let operator = record.operator;
        record
            .changes
            .into_iter()
            .map(move |line| format!("version {version} by {operator}: {line}"))
    });
    lines.collect()
}

//! The planners' sheet: a CSV file whose rows are applied as one configuration change.
//!
//! `guide/src/operating.md` describes the columns. All rows are checked before any is applied, and
//! each finding names its line and column.

use std::time::SystemTime;

use csv::{ReaderBuilder, StringRecord, Trim};
use indexmap::IndexSet;

use super::key_hash::KeyHash;
use super::raw::{RawConfiguration, RawMove, RawTeam};
use crate::findings::FindingList;

/// Columns of the sheet, in any order.
pub const SHEET_COLUMNS: [&str; 5] = ["kind", "name", "value", "key-hash", "deadline"];

/// A sheet that was not checked yet.
#[derive(Clone, Debug)]
pub struct RawSheet {
    /// File name for findings.
    pub file: String,
    /// Content of the file.
    pub text: String,
}

/// Change that a row requests.
#[derive(Clone, Debug, PartialEq)]
enum SheetRequest {
    Team { share: f64, key_hash: Option<String> },
    DataCentre { state: String },
    Version { version: String },
}

#[derive(Clone, Debug)]
struct SheetRow {
    line: u64,
    name: String,
    request: SheetRequest,
    deadline: SystemTime,
}

/// A sheet whose rows are valid on their own; whether they fit a configuration is checked by
/// [`PlannerSheet::apply`].
#[derive(Clone, Debug)]
pub struct PlannerSheet {
    file: String,
    rows: Vec<SheetRow>,
}

/// Decodes the rows of a sheet and collects findings.
struct SheetReader {
    file: String,
    headers: StringRecord,
    findings: FindingList,
}

impl TryFrom<RawSheet> for PlannerSheet {
    type Error = FindingList;

    fn try_from(raw: RawSheet) -> Result<Self, FindingList> {
        let mut csv = ReaderBuilder::new()
            .flexible(true)
            .trim(Trim::All)
            .comment(Some(b'#'))
            .from_reader(raw.text.as_bytes());
        let findings = FindingList::default();
        let headers = csv.headers().cloned().unwrap_or_default();
        let mut reader = SheetReader { file: raw.file, headers, findings };
        reader.check_headers()?;
        let mut rows: Vec<SheetRow> = Vec::new();
        let mut seen = IndexSet::new();
        for record in csv.records() {
            let record = match record {
                Ok(record) => record,
                Err(error) => {
                    let line = error.position().map_or(0, csv::Position::line);
                    reader.report(line, "row", error.to_string());
                    continue;
                }
            };
            let line = record.position().map_or(0, csv::Position::line);
            if record.len() > reader.headers.len() {
                reader.report(line, "row", "has more fields than the header".to_owned());
            }
            let Some(row) = reader.read_row(line, &record) else { continue };
            let kind = std::mem::discriminant(&row.request);
            if !seen.insert((kind, row.name.clone())) {
                reader.report(line, "name", format!("{:?} is listed twice", row.name));
            }
            rows.push(row);
        }
        let SheetReader { file, findings, .. } = reader;
        findings.into_result(Self { file, rows })
    }
}

impl SheetReader {
    fn report(&mut self, line: u64, column: &str, message: String) {
        self.findings.push(format!("{}:{line}: column {column}", self.file), message);
    }

    fn check_headers(&mut self) -> Result<(), FindingList> {
        for column in SHEET_COLUMNS {
            let count = self.headers.iter().filter(|header| *header == column).count();
            if count != 1 {
                self.report(1, column, format!("must be present once, found {count} times"));
            }
        }
        let unknown: Vec<String> = self
            .headers
            .iter()
            .filter(|header| !SHEET_COLUMNS.contains(header))
            .map(str::to_owned)
            .collect();
        for header in unknown {
            let message = format!("unknown; the columns are {}", SHEET_COLUMNS.join(", "));
            self.report(1, &format!("{header:?}"), message);
        }
        std::mem::take(&mut self.findings).into_result(())
    }

    fn field<'a>(&self, record: &'a StringRecord, column: &str) -> &'a str {
        let index = self.headers.iter().position(|header| header == column);
        index.and_then(|index| record.get(index)).unwrap_or_default()
    }

    fn read_row(&mut self, line: u64, record: &StringRecord) -> Option<SheetRow> {
        let name = self.field(record, "name").to_owned();
        let valid = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if name.is_empty() || name.len() > 64 || !name.bytes().all(valid) {
            let message = "must be 1 to 64 letters, digits, '-', '_' or '.'";
            self.report(line, "name", message.to_owned());
        }
        let request = self.read_request(line, record);
        let deadline = humantime::parse_rfc3339(self.field(record, "deadline")).ok();
        if deadline.is_none() {
            let message = "expected an RFC 3339 time in UTC such as 2026-12-04T06:00:00Z";
            self.report(line, "deadline", message.to_owned());
        }
        Some(SheetRow { line, name, request: request?, deadline: deadline? })
    }

    fn read_request(&mut self, line: u64, record: &StringRecord) -> Option<SheetRequest> {
        let value = self.field(record, "value").to_owned();
        let hash = Some(self.field(record, "key-hash")).filter(|hash| !hash.is_empty());
        let kind = self.field(record, "kind");
        if let Some(Err(expected)) = hash.map(str::parse::<KeyHash>) {
            self.report(line, "key-hash", expected.to_owned());
        }
        if hash.is_some() && kind != "team" {
            self.report(line, "key-hash", "only teams have one".to_owned());
        }
        match kind {
            "team" => {
                let share = value.parse().ok().filter(|share: &f64| share.is_finite());
                let share = share.filter(|share| *share > 0.0);
                if share.is_none() {
                    self.report(line, "value", format!("a share above 0, found {value:?}"));
                }
                Some(SheetRequest::Team { share: share?, key_hash: hash.map(str::to_owned) })
            }
            "data-centre" => {
                let valid = value == "in" || value == "out";
                if !valid {
                    self.report(line, "value", format!("must be in or out, found {value:?}"));
                }
                valid.then_some(SheetRequest::DataCentre { state: value })
            }
            "version" => {
                if value.is_empty() {
                    self.report(line, "value", "the version to move to is missing".to_owned());
                }
                (!value.is_empty()).then_some(SheetRequest::Version { version: value })
            }
            _ => {
                let message = format!("must be team, data-centre or version, found {kind:?}");
                self.report(line, "kind", message);
                None
            }
        }
    }
}

impl PlannerSheet {
    /// Returns the configuration with all rows applied, or the findings if any row cannot be
    /// applied.
    ///
    /// A row whose change was made already has no effect, even after its deadline, so that a sheet
    /// can be imported again.
    pub fn apply(
        &self,
        current: &RawConfiguration,
        now: SystemTime,
    ) -> Result<RawConfiguration, FindingList> {
        let mut changed = current.clone();
        let mut findings = FindingList::default();
        for row in &self.rows {
            let before = changed.clone();
            if let Err((column, message)) = row.apply(&mut changed, now) {
                findings.push(format!("{}:{}: column {column}", self.file, row.line), message);
            } else if changed != before && row.deadline <= now {
                let message = "has passed and the row is not in force";
                findings.push(format!("{}:{}: column deadline", self.file, row.line), message);
            }
        }
        findings.into_result(changed)
    }
}

impl SheetRow {
    fn apply(
        &self,
        configuration: &mut RawConfiguration,
        now: SystemTime,
    ) -> Result<(), (&'static str, String)> {
        match &self.request {
            SheetRequest::Team { share, key_hash } => {
                self.apply_team(configuration, *share, key_hash.as_ref())
            }
            SheetRequest::DataCentre { state } => {
                let mut centres = configuration.data_centres.iter_mut();
                let centre = centres.find(|centre| centre.id == self.name);
                let unknown = || ("name", format!("no data centre {:?} is known", self.name));
                centre.ok_or_else(unknown)?.state.clone_from(state);
                Ok(())
            }
            SheetRequest::Version { version } => self.apply_version(configuration, version, now),
        }
    }

    fn apply_team(
        &self,
        configuration: &mut RawConfiguration,
        share: f64,
        key_hash: Option<&String>,
    ) -> Result<(), (&'static str, String)> {
        let known = configuration.teams.iter_mut().find(|team| team.id == self.name);
        if let Some(team) = known {
            team.share = share;
            if let Some(hash) = key_hash {
                team.key_hash.clone_from(hash);
            }
            return Ok(());
        }
        let Some(hash) = key_hash else {
            return Err(("key-hash", format!("team {:?} is new and needs one", self.name)));
        };
        let id = self.name.clone();
        configuration.teams.push(RawTeam { id, key_hash: hash.clone(), share });
        Ok(())
    }

    fn apply_version(
        &self,
        configuration: &mut RawConfiguration,
        to: &str,
        now: SystemTime,
    ) -> Result<(), (&'static str, String)> {
        let service = configuration.services.iter().find(|service| service.id == self.name);
        let unknown = || ("name", format!("no service {:?} is known", self.name));
        let service = service.ok_or_else(unknown)?;
        let deadline = humantime::format_rfc3339_seconds(self.deadline).to_string();
        let id = format!("{}-{to}-{}", self.name, deadline.replace([':', '-'], ""));
        if configuration.moves.iter().any(|known| known.id == id) || service.version == to {
            return Ok(());
        }
        let ended = |state: &str| state == "done" || state == "taken back";
        let mut moves = configuration.moves.iter();
        if let Some(other) = moves.find(|m| m.service == self.name && !ended(&m.state)) {
            let message = format!("service {:?} has the running move {:?}", self.name, other.id);
            return Err(("name", message));
        }
        configuration.moves.push(RawMove {
            id,
            service: self.name.clone(),
            from: service.version.clone(),
            to: to.to_owned(),
            deadline,
            planned: Some(humantime::format_rfc3339_seconds(now).to_string()),
            state: "planned".to_owned(),
            share: 0.0,
            reason: None,
            changed: None,
        });
        Ok(())
    }
}

//! Reads typed values from TOML text and collects findings with their lines.

use std::net::SocketAddr;
use std::time::Duration;

use http::Uri;
use indexmap::IndexSet;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::decision::fair_queue::FairnessPolicy;
use crate::findings::FindingList;

/// A type that a setting can have.
pub trait SettingValue: Sized {
    /// Converts a TOML value; the error says what is expected instead.
    fn from_toml(value: &DeValue<'_>) -> Result<Self, String>;
}

fn expect_text<'a>(value: &'a DeValue<'_>, expected: &str) -> Result<&'a str, String> {
    value.as_str().ok_or_else(|| format!("expected {expected}, found {}", value.type_str()))
}

impl SettingValue for String {
    fn from_toml(value: &DeValue<'_>) -> Result<Self, String> {
        let text = expect_text(value, "a string")?;
        if text.trim().is_empty() {
            return Err("must not be empty".to_owned());
        }
        Ok(text.to_owned())
    }
}

impl SettingValue for FairnessPolicy {
    fn from_toml(value: &DeValue<'_>) -> Result<Self, String> {
        const EXPECTED: &str = "one of \"fleet\", \"local\" and \"fifo\"";
        let text = expect_text(value, EXPECTED)?;
        [Self::Fleet, Self::Local, Self::Fifo]
            .into_iter()
            .find(|policy| policy.to_string() == text)
            .ok_or_else(|| format!("expected {EXPECTED}, found {text:?}"))
    }
}

impl SettingValue for u64 {
    fn from_toml(value: &DeValue<'_>) -> Result<Self, String> {
        let integer = value
            .as_integer()
            .ok_or_else(|| format!("expected a whole number, found {}", value.type_str()))?;
        Self::from_str_radix(integer.as_str(), integer.radix())
            .map_err(|_| format!("expected a whole number from 0, found {}", integer.as_str()))
    }
}

impl SettingValue for f64 {
    fn from_toml(value: &DeValue<'_>) -> Result<Self, String> {
        let text = value
            .as_float()
            .map(toml::de::DeFloat::as_str)
            .or_else(|| value.as_integer().map(toml::de::DeInteger::as_str));
        text.and_then(|text| text.parse().ok())
            .ok_or_else(|| format!("expected a number, found {}", value.type_str()))
    }
}

impl SettingValue for bool {
    fn from_toml(value: &DeValue<'_>) -> Result<Self, String> {
        value.as_bool().ok_or_else(|| format!("expected true or false, found {}", value.type_str()))
    }
}

impl SettingValue for Duration {
    fn from_toml(value: &DeValue<'_>) -> Result<Self, String> {
        let text = expect_text(value, "a duration such as \"250ms\" or \"2s\"")?;
        humantime::parse_duration(text)
            .map_err(|error| format!("expected a duration such as \"250ms\" or \"2s\": {error}"))
    }
}

impl SettingValue for SocketAddr {
    fn from_toml(value: &DeValue<'_>) -> Result<Self, String> {
        let text = expect_text(value, "an address such as \"10.0.0.1:8080\"")?;
        text.parse().map_err(|_| {
            format!("expected an IP address and port such as \"10.0.0.1:8080\", found {text:?}")
        })
    }
}

impl SettingValue for Uri {
    fn from_toml(value: &DeValue<'_>) -> Result<Self, String> {
        let text = expect_text(value, "a URL such as \"http://10.0.0.1:8080\"")?;
        let malformed =
            || format!("expected a URL such as \"http://10.0.0.1:8080\", found {text:?}");
        let uri: Self = text.parse().map_err(|_| malformed())?;
        let is_absolute = uri.scheme_str() == Some("http") && uri.authority().is_some();
        if is_absolute { Ok(uri) } else { Err(malformed()) }
    }
}

/// Reads settings by dotted key and tracks which keys were read; the others are unknown settings.
pub struct SettingReader<'a> {
    file: &'a str,
    text: &'a str,
    root: DeTable<'a>,
    read_keys: IndexSet<String>,
    findings: FindingList,
}

impl<'a> SettingReader<'a> {
    /// Parses the text. Syntax errors become findings, and what can be parsed is still read.
    pub fn parse(file: &'a str, text: &'a str) -> Self {
        let (root, errors) = DeTable::parse_recoverable(text);
        let mut reader = Self {
            file,
            text,
            root: root.into_inner(),
            read_keys: IndexSet::new(),
            findings: FindingList::default(),
        };
        for error in errors {
            let line = reader.line_number(error.span().map_or(0, |span| span.start));
            reader.findings.push(format!("{file}:{line}"), error.message());
        }
        reader
    }

    /// Returns whether the file has the section.
    pub fn has_section(&self, section: &str) -> bool {
        self.root.contains_key(section)
    }

    /// Reads a required setting; its absence is a finding.
    pub fn required<T: SettingValue>(&mut self, key: &str) -> Option<T> {
        let value = self.optional(key);
        if value.is_none() && self.value_at(key).is_none() {
            self.findings.push(format!("{}: {key}", self.file), "missing");
        }
        value
    }

    /// Reads a setting, or returns the default if it is absent or malformed.
    pub fn or_default<T: SettingValue>(&mut self, key: &str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    /// Reads an optional setting; a malformed value is a finding.
    pub fn optional<T: SettingValue>(&mut self, key: &str) -> Option<T> {
        self.read_keys.insert(key.to_owned());
        let (result, start) = {
            let value = self.value_at(key)?;
            (T::from_toml(value.get_ref()), value.span().start)
        };
        match result {
            Ok(value) => Some(value),
            Err(message) => {
                self.push_finding(start, key, message);
                None
            }
        }
    }

    /// Adds a finding about the value of a setting.
    pub fn reject(&mut self, key: &str, message: impl Into<String>) {
        let start = self.value_at(key).map(|value| value.span().start);
        match start {
            Some(start) => self.push_finding(start, key, message.into()),
            None => self.findings.push(format!("{}: {key}", self.file), message),
        }
    }

    /// Adds a finding for each key that was never read, and returns all findings.
    pub fn close(mut self) -> FindingList {
        let mut unknown = Vec::new();
        for (section, value) in &self.root {
            match value.get_ref().as_table() {
                Some(table) => {
                    let keys = table.iter().map(|(key, value)| {
                        (format!("{}.{}", section.get_ref(), key.get_ref()), value.span().start)
                    });
                    unknown.extend(keys.filter(|(key, _)| !self.read_keys.contains(key)));
                }
                None => unknown.push((section.get_ref().to_string(), value.span().start)),
            }
        }
        for (key, start) in unknown {
            self.push_finding(start, &key, "unknown setting".to_owned());
        }
        self.findings
    }

    fn value_at(&self, key: &str) -> Option<&Spanned<DeValue<'a>>> {
        let (section, name) = key.split_once('.')?;
        self.root.get(section)?.get_ref().as_table()?.get(name)
    }

    fn push_finding(&mut self, start: usize, key: &str, message: String) {
        let line = self.line_number(start);
        self.findings.push(format!("{}:{line}: {key}", self.file), message);
    }

    /// Returns the line of a byte offset, counted from 1.
    fn line_number(&self, offset: usize) -> usize {
        let before = self.text.as_bytes().iter().take(offset);
        1 + before.filter(|byte| **byte == b'\n').count()
    }
}

//! Reads a JSON object field by field and collects all errors with their paths.
//!
//! Each getter takes the name of a field, its default and the allowed values. An invalid value is a
//! finding, and the getter returns a placeholder so that reading continues. [`Fields::finish`]
//! reports the fields that no getter has read, so that an unknown field is not ignored.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use base::prelude::*;
use serde_json::Map;
use serde_json::Value;

use crate::secret::Secret;

/// A JSON object of the settings that is being read.
pub struct Fields<'a> {
    path: String,
    object: Option<&'a Map<String, Value>>,
    known: BTreeSet<&'static str>,
    findings: &'a mut Findings,
}

impl<'a> Fields<'a> {
    /// Starts reading `value`, which is at `path`. `None` is read as an empty object.
    pub fn new(path: &str, value: Option<&'a Value>, findings: &'a mut Findings) -> Self {
        let object = match value {
            None => None,
            Some(Value::Object(object)) => Some(object),
            Some(other) => {
                findings.add(path, format!("found {other}; an object is expected"));
                None
            }
        };
        Fields { path: path.to_owned(), object, known: BTreeSet::new(), findings }
    }

    /// Reports the fields that were not read as unknown.
    pub fn finish(self) {
        let Some(object) = self.object else { return };
        for name in object.keys().filter(|name| !self.known.contains(name.as_str())) {
            let known: Vec<_> = self.known.iter().copied().collect();
            let place = format!("{}.{name}", self.path);
            self.findings.add(place, format!("unknown field; the fields are {}", known.join(", ")));
        }
    }

    /// Reads the nested object `name` with `read`.
    pub fn nested<T>(&mut self, name: &'static str, read: impl FnOnce(&mut Fields<'_>) -> T) -> T {
        let value = self.value(name);
        let path = format!("{}.{name}", self.path);
        let mut fields = Fields::new(&path, value, self.findings);
        let result = read(&mut fields);
        fields.finish();
        result
    }

    /// Reads a non-empty text. If the field is absent, returns `default`, or reports a finding if that
    /// is `None`.
    pub fn text(&mut self, name: &'static str, default: Option<&str>) -> Box<str> {
        match (self.value(name), default) {
            (Some(Value::String(text)), _) if !text.is_empty() => text.as_str().into(),
            (None, Some(default)) => default.into(),
            (found, _) => {
                self.add_finding(name, found, "text that is not empty");
                "".into()
            }
        }
    }

    /// Reads an integer within `range`.
    pub fn integer(&mut self, name: &'static str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let value = self.value(name);
        match value.map(Value::as_u64) {
            None => default,
            Some(Some(number)) if range.contains(&number) => number,
            Some(_) => {
                let allowed = format!("an integer from {} to {}", range.start(), range.end());
                self.add_finding(name, value, &allowed);
                default
            }
        }
    }

    /// Reads an integer within `range` as a `usize`.
    pub fn size(&mut self, name: &'static str, default: u64, range: RangeInclusive<u64>) -> usize {
        usize::try_from(self.integer(name, default, range)).unwrap_or(usize::MAX)
    }

    /// Reads a number within `range`.
    pub fn number(&mut self, name: &'static str, default: f64, range: RangeInclusive<f64>) -> f64 {
        let value = self.value(name);
        match value.map(Value::as_f64) {
            None => default,
            Some(Some(number)) if range.contains(&number) => number,
            Some(_) => {
                let allowed = format!("a number from {} to {}", range.start(), range.end());
                self.add_finding(name, value, &allowed);
                default
            }
        }
    }

    /// Reads `true` or `false`.
    pub fn flag(&mut self, name: &'static str, default: bool) -> bool {
        let value = self.value(name);
        match value.map(Value::as_bool) {
            None => default,
            Some(Some(flag)) => flag,
            Some(None) => {
                self.add_finding(name, value, "true or false");
                default
            }
        }
    }

    /// Reads a duration in milliseconds within `range`; the name of the field must end in `_ms`.
    pub fn millis(
        &mut self,
        name: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Duration {
        debug_assert!(name.ends_with("_ms"), "the name of the field must end in its unit");
        Duration::from_millis(self.integer(name, default, range))
    }

    /// Reads a duration in milliseconds that may be absent or null.
    pub fn optional_millis(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<Duration> {
        match self.value(name) {
            None | Some(Value::Null) => None,
            Some(_) => Some(self.millis(name, *range.start(), range)),
        }
    }

    /// Reads an IP address with port.
    pub fn address(&mut self, name: &'static str, default: &str) -> SocketAddr {
        let value = self.value(name);
        let text = match value {
            None => Some(default),
            Some(value) => value.as_str(),
        };
        match text.and_then(|text| text.parse().ok()) {
            Some(address) => address,
            None => {
                self.add_finding(name, value, "an IP address with port, such as \"10.0.0.1:8080\"");
                SocketAddr::from(([127, 0, 0, 1], 0))
            }
        }
    }

    /// Reads an IP address with port that may be absent or null.
    pub fn optional_address(&mut self, name: &'static str) -> Option<SocketAddr> {
        match self.value(name) {
            None | Some(Value::Null) => None,
            Some(_) => Some(self.address(name, "")),
        }
    }

    /// Reads a list of IP addresses with ports.
    pub fn addresses(&mut self, name: &'static str) -> Vec<SocketAddr> {
        self.list(name, "an IP address with port", |item| item.as_str()?.parse().ok())
    }

    /// Reads a list of texts that are not empty.
    pub fn texts(&mut self, name: &'static str) -> Vec<Box<str>> {
        let text = |item: &Value| item.as_str().filter(|text| !text.is_empty()).map(Into::into);
        self.list(name, "text that is not empty", text)
    }

    /// Reads a list of credentials of at least `min_bytes` bytes each.
    pub fn secrets(&mut self, name: &'static str, min_bytes: usize) -> Vec<Secret> {
        let allowed = format!("a credential of at least {min_bytes} bytes");
        self.list(name, &allowed, |item| {
            item.as_str().filter(|text| text.len() >= min_bytes).map(Secret::new)
        })
    }

    /// Reads a credential that may be absent or null.
    pub fn optional_secret(&mut self, name: &'static str) -> Option<Secret> {
        match self.value(name) {
            None | Some(Value::Null) => None,
            Some(Value::String(text)) if !text.is_empty() => Some(Secret::new(text.as_str())),
            found => {
                let hidden = found.map(|_| Value::from("***"));
                self.add_finding(name, hidden.as_ref(), "text that is not empty");
                None
            }
        }
    }

    /// Reads a text that selects one of `choices`.
    pub fn choice<T: Copy>(&mut self, name: &'static str, default: T, choices: &[(&str, T)]) -> T {
        let value = self.value(name);
        let Some(found) = value else { return default };
        let chosen = choices.iter().find(|(text, _)| found.as_str() == Some(text));
        if let Some((_, choice)) = chosen {
            return *choice;
        }
        let allowed: Vec<_> = choices.iter().map(|(text, _)| *text).collect();
        self.add_finding(name, value, &format!("one of {}", allowed.join(", ")));
        default
    }

    /// Reads an object whose values each select one of `choices`, and returns its keys and choices.
    pub fn choices_by_name<T: Copy>(
        &mut self,
        name: &'static str,
        choices: &[(&'static str, T)],
    ) -> Vec<(Box<str>, T)> {
        let Some(value) = self.value(name) else { return Vec::new() };
        let Some(object) = value.as_object() else {
            self.add_finding(name, Some(value), "an object");
            return Vec::new();
        };
        let mut read = Vec::new();
        for (key, item) in object {
            match choices.iter().find(|(text, _)| item.as_str() == Some(text)) {
                Some((_, choice)) => read.push((key.as_str().into(), *choice)),
                None => {
                    let allowed: Vec<_> = choices.iter().map(|(text, _)| *text).collect();
                    let place = format!("{}.{name}.{key}", self.path);
                    let allowed = allowed.join(", ");
                    self.findings.add(place, format!("found {item}; allowed is one of {allowed}"));
                }
            }
        }
        read
    }

    fn list<T>(
        &mut self,
        name: &'static str,
        allowed: &str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Vec<T> {
        let Some(value) = self.value(name) else { return Vec::new() };
        let Some(items) = value.as_array() else {
            self.add_finding(name, Some(value), "a list");
            return Vec::new();
        };
        let mut list = Vec::new();
        for (index, item) in items.iter().enumerate() {
            match read(item) {
                Some(item) => list.push(item),
                None => {
                    let place = format!("{}.{name}[{index}]", self.path);
                    self.findings.add(place, format!("not allowed; allowed is {allowed}"));
                }
            }
        }
        list
    }

    fn value(&mut self, name: &'static str) -> Option<&'a Value> {
        self.known.insert(name);
        self.object.and_then(|object| object.get(name))
    }

    fn add_finding(&mut self, name: &str, found: Option<&Value>, allowed: &str) {
        let place = format!("{}.{name}", self.path);
        let problem = match found {
            Some(found) => format!("found {found}; allowed is {allowed}"),
            None => format!("missing; {allowed} is required"),
        };
        self.findings.add(place, problem);
    }
}

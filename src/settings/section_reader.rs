//! Reads typed values from an INI section and collects all faults.

use std::collections::BTreeSet;
use std::str::FromStr;

use ini::Properties;

use super::{FaultCause, SettingsFault};

/// Reads one section. A fault is recorded and does not stop the reading.
#[derive(Debug)]
pub struct SectionReader<'a> {
    file: &'a str,
    section: &'a str,
    properties: &'a Properties,
    known_keys: BTreeSet<&'static str>,
    faults: &'a mut Vec<SettingsFault>,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader of a section, which adds its faults to `faults`.
    pub const fn open(
        file: &'a str,
        section: &'a str,
        properties: &'a Properties,
        faults: &'a mut Vec<SettingsFault>,
    ) -> Self {
        Self {
            file,
            section,
            properties,
            known_keys: BTreeSet::new(),
            faults,
        }
    }

    /// Records a fault of a key.
    pub fn record_fault(&mut self, key: &str, cause: FaultCause) {
        self.faults.push(SettingsFault {
            file: self.file.to_owned(),
            line: None,
            section: self.section.to_owned(),
            key: key.to_owned(),
            cause,
        });
    }

    /// The text of a key; `None` if it is absent or empty.
    fn value(&self, key: &str) -> Option<&'a str> {
        let text = self.properties.get(key)?.trim();
        (!text.is_empty()).then_some(text)
    }

    /// Reads an optional value. An invalid one is a fault and counts as absent.
    pub fn optional<T: FromStr>(&mut self, key: &'static str, expected: &str) -> Option<T> {
        self.known_keys.insert(key);
        let text = self.value(key)?;
        let value = text.trim().parse().ok();
        if value.is_none() {
            self.record_fault(key, FaultCause::WrongValue(expected.to_owned()));
        }
        value
    }

    /// Reads an optional value, with a default for an absent or invalid one.
    pub fn or_default<T: FromStr>(&mut self, key: &'static str, expected: &str, default: T) -> T {
        self.optional(key, expected).unwrap_or(default)
    }

    /// Reads a required value. An absent or invalid one is a fault and yields the fallback.
    pub fn required<T: FromStr>(&mut self, key: &'static str, expected: &str, fallback: T) -> T {
        if self.value(key).is_none() {
            self.known_keys.insert(key);
            self.record_fault(key, FaultCause::MissingKey(expected.to_owned()));
            return fallback;
        }
        self.or_default(key, expected, fallback)
    }

    /// Reads a required text; an absent one is a fault and yields an empty text.
    pub fn text(&mut self, key: &'static str, expected: &str) -> String {
        self.required(key, expected, String::new())
    }

    /// Reads a comma-separated list; an absent key yields an empty list.
    pub fn list<T: for<'t> From<&'t str>>(&mut self, key: &'static str) -> Vec<T> {
        self.known_keys.insert(key);
        let text = self.properties.get(key).unwrap_or_default();
        text.split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty())
            .map(T::from)
            .collect()
    }

    /// Ends the reading and records a fault for each key that was not read.
    pub fn reject_unknown_keys(mut self) {
        let unknown: Vec<String> = self
            .properties
            .iter()
            .map(|(key, _)| key.to_owned())
            .filter(|key| !self.known_keys.contains(key.as_str()))
            .collect();
        for key in unknown {
            self.record_fault(&key, FaultCause::UnknownKey);
        }
    }
}

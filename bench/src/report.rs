//! What the bench's report of one day says.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;

use crate::BenchError;

/// One part of a day's worth: its name, its weight and how much of it was earned.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Part(pub String, pub f64, pub f64);

/// The figures of one day.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Report {
    /// What the day is worth, all parts less all prices.
    #[serde(rename = "G")]
    pub worth: f64,
    /// The share of what was owed that was earned.
    pub served: f64,
    /// The parts of the worth.
    pub parts: Vec<Part>,
    /// Prices: the name, the amount and what it costs.
    pub prices: Vec<Part>,
    /// Broken rules, and how often.
    pub breaks: BTreeMap<String, u64>,
    /// Why the day counts for nothing, if it does.
    pub fault: Option<String>,
}

impl Report {
    /// Reads a report.
    ///
    /// # Errors
    ///
    /// Returns why the file can't be read or is no report.
    pub fn read(path: &Path) -> Result<Self, BenchError> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| BenchError::File(path.to_owned(), error))?;
        Self::parse(&text).map_err(|error| BenchError::Report(path.to_owned(), error))
    }

    /// Parses a report.
    ///
    /// # Errors
    ///
    /// Returns why the text is no report.
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }

    /// Returns how much of a part was earned; none where the day has no such part.
    #[must_use]
    pub fn part(&self, name: &str) -> Option<f64> {
        let part = self.parts.iter().find(|part| part.0 == name);
        part.map(|part| part.2)
    }

    /// Returns what a price takes from the worth; nothing where it is not named.
    #[must_use]
    pub fn price(&self, name: &str) -> f64 {
        let price = self.prices.iter().find(|price| price.0 == name);
        price.map_or(0.0, |price| price.2)
    }

    /// Counts the broken rules; a fault is one.
    #[must_use]
    pub fn broken(&self) -> u64 {
        self.breaks.values().sum::<u64>() + u64::from(self.fault.is_some())
    }
}

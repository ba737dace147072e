//! Pairs what came of variants on the same days.

use std::collections::BTreeMap;
use std::fmt;

use crate::{Play, Report};

/// The name of the price of work that was thrown away.
const WASTE: &str = "core-seconds of work thrown away";
/// The name of the part of the worst seconds.
const WINDOWS: &str = "worst windows";

/// How one variant did on one site, beside the first variant.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// The site's name.
    pub site: String,
    /// The variant's name.
    pub variant: String,
    /// Days that both played.
    pub days: usize,
    /// Mean worth.
    pub worth: f64,
    /// Mean of the differences from the first variant, day by day.
    pub difference: f64,
    /// Standard error of that mean.
    pub error: f64,
    /// The lowest worth of a day.
    pub worst: f64,
    /// Mean part earned of the worst seconds.
    pub windows: f64,
    /// Mean price of work thrown away.
    pub waste: f64,
    /// Broken rules and faults.
    pub broken: u64,
}

/// What came of several variants, the first of which the others are compared with.
#[derive(Debug, Clone, Default)]
pub struct Comparison {
    variants: Vec<(String, BTreeMap<Play, Report>)>,
}

impl Comparison {
    /// Adds a variant's days.
    pub fn add(&mut self, name: &str, days: Vec<(Play, Report)>) {
        self.variants
            .push((name.to_owned(), days.into_iter().collect()));
    }

    /// Returns a row for each site and variant.
    #[must_use]
    pub fn rows(&self) -> Vec<Row> {
        let Some((_, first)) = self.variants.first() else {
            return Vec::new();
        };
        let mut sites: Vec<String> = first.keys().map(Play::site_name).collect();
        sites.sort();
        sites.dedup();
        let rows = sites.iter().flat_map(|site| {
            let variants = self.variants.iter();
            variants.filter_map(|(name, days)| row(site, name, first, days))
        });
        rows.collect()
    }
}

fn row(
    site: &str,
    name: &str,
    first: &BTreeMap<Play, Report>,
    days: &BTreeMap<Play, Report>,
) -> Option<Row> {
    let pairs: Vec<(&Report, &Report)> = first
        .iter()
        .filter(|(play, _)| play.site_name() == site)
        .filter_map(|(play, base)| Some((base, days.get(play)?)))
        .collect();
    if pairs.is_empty() {
        return None;
    }
    let mean = |of: &dyn Fn(&(&Report, &Report)) -> f64| {
        let sum: f64 = pairs.iter().map(of).sum();
        sum / as_f64(pairs.len())
    };
    let difference = mean(&|(base, report)| report.worth - base.worth);
    let spread: f64 = pairs
        .iter()
        .map(|(base, report)| (report.worth - base.worth - difference).powi(2))
        .sum();
    let freedom = as_f64(pairs.len().saturating_sub(1).max(1));
    Some(Row {
        site: site.to_owned(),
        variant: name.to_owned(),
        days: pairs.len(),
        worth: mean(&|(_, report)| report.worth),
        difference,
        error: (spread / freedom / as_f64(pairs.len())).sqrt(),
        worst: pairs
            .iter()
            .map(|(_, report)| report.worth)
            .fold(f64::INFINITY, f64::min),
        windows: mean(&|(_, report)| report.part(WINDOWS).unwrap_or_default()),
        waste: mean(&|(_, report)| report.price(WASTE)),
        broken: pairs.iter().map(|(_, report)| report.broken()).sum(),
    })
}

#[allow(clippy::cast_precision_loss, reason = "counts of days are small")]
const fn as_f64(count: usize) -> f64 {
    count as f64
}

impl fmt::Display for Row {
    /// Writes a row of a Markdown table: site, variant, days, worth, difference and its standard
    /// error, worst day, worst seconds, waste, broken rules.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "| {} | {} | {} | {:.3} | {:+.3} ± {:.3} | {:.3} | {:.3} | {:.3} | {} |",
            self.site,
            self.variant,
            self.days,
            self.worth,
            self.difference,
            self.error,
            self.worst,
            self.windows,
            self.waste,
            self.broken
        )
    }
}

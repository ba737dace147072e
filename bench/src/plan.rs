//! Which days are played for which variants.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::str::FromStr;

use crate::checkout::run;
use crate::parallel::in_parallel;
use crate::{BenchError, Checkout, Report};

/// A name and changes of the policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Variant {
    /// What the tables call it.
    pub name: String,
    /// Changes as `GROUP.FIELD=VALUE`.
    pub changes: Vec<String>,
}

impl Variant {
    /// Returns the daemon's flags for it.
    #[must_use]
    pub fn flags(&self) -> String {
        let flags = self.changes.iter().map(|c| format!("--policy={c}"));
        flags.collect::<Vec<_>>().join(" ")
    }
}

impl FromStr for Variant {
    type Err = BenchError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || BenchError::Variant(text.to_owned());
        let (name, changes) = text.split_once(':').unwrap_or((text, ""));
        let changes = changes.split('+').filter(|change| !change.is_empty());
        let changes: Vec<String> = changes.map(str::to_owned).collect();
        let is_change = |change: &String| change.contains('.') && change.contains('=');
        if name.is_empty() || !changes.iter().all(is_change) {
            return Err(wrong());
        }
        Ok(Self {
            name: name.to_owned(),
            changes,
        })
    }
}

/// One day of one site with one seed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Play {
    /// The site file.
    pub site: PathBuf,
    /// The day's name, or a file with a day.
    pub day: String,
    /// The seed; none for the day's own.
    pub seed: Option<u64>,
}

impl Play {
    /// Returns the site's name.
    #[must_use]
    pub fn site_name(&self) -> String {
        let stem = self.site.file_stem().unwrap_or_default();
        stem.to_string_lossy().into_owned()
    }
}

/// How plays are run.
#[derive(Debug, Clone)]
pub struct Runner {
    /// The users' bench.
    pub bench: PathBuf,
    /// Plays at a time.
    pub jobs: usize,
    /// What the entries say.
    pub why: String,
}

/// Plays every day for one variant, some at a time; days that could not be played are reported
/// on standard error and left out.
///
/// # Errors
///
/// Returns why the variant could not be set up.
pub fn play(
    checkout: &Checkout,
    runner: &Runner,
    variant: &Variant,
    plays: &[Play],
) -> Result<Vec<(Play, Report)>, BenchError> {
    checkout.set_flags(&variant.flags())?;
    build(checkout, runner)?;
    let mut done = in_parallel(plays, runner.jobs, |index, play| {
        match one(checkout, runner, variant, play, index) {
            Ok(report) => Some((play.clone(), report)),
            Err(error) => {
                eprintln!("{} {play:?}: {error}", variant.name);
                None
            }
        }
    });
    done.sort_by(|a, b| a.0.cmp(&b.0));
    Ok(done)
}

fn build(checkout: &Checkout, runner: &Runner) -> Result<(), BenchError> {
    let mut command = Command::new(&runner.bench);
    command.arg("build").current_dir(checkout.root());
    run("build", &mut command).map(|_| ())
}

fn one(
    checkout: &Checkout,
    runner: &Runner,
    variant: &Variant,
    play: &Play,
    index: usize,
) -> Result<Report, BenchError> {
    let report = report_path(checkout.root(), index);
    let why = format!(
        "{}; variant {}: {}",
        runner.why,
        variant.name,
        variant.flags()
    );
    let mut command = Command::new(&runner.bench);
    command.arg("run").arg(&play.site).arg(&play.day);
    command.args(["--no-cpu", "--why", &why, "--report"]);
    command.arg(&report).current_dir(checkout.root());
    if let Some(seed) = play.seed {
        command.args(["--seed", &seed.to_string()]);
    }
    let name = format!("{} {}", play.site_name(), play.day);
    run(&name, &mut command)?;
    Report::read(&report)
}

fn report_path(root: &Path, index: usize) -> PathBuf {
    root.join("target").join(format!("report-{index}.json"))
}

//! Reads a day's log and says why jobs were late or not taken.

use std::collections::{BTreeMap, BTreeSet};

/// One job, as the daemons' log lines tell of it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoggedJob {
    /// When it was handed in first, in seconds of the day.
    pub first_at: f64,
    /// Whether it was ever taken.
    pub is_taken: bool,
    /// What the line of its end says; none where it has not ended, or was cancelled.
    pub ended: Option<EndedJob>,
}

/// What the line of a job's end says.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndedJob {
    /// Its queue.
    pub queue: String,
    /// Its queue's priority.
    pub priority: u8,
    /// The zone it was handed in at.
    pub zone: String,
    /// From the first time it was handed in until its end was written down, in milliseconds.
    pub whole_ms: f64,
    /// The part of that from the time it was accepted on, in milliseconds.
    pub accepted_ms: f64,
    /// Within what time that should have happened, by its last run as it turned out, in
    /// milliseconds.
    pub aim_ms: f64,
    /// How long its last run took, in milliseconds.
    pub work_ms: f64,
    /// How long its caller says that its work takes, in milliseconds.
    pub estimate_ms: f64,
    /// What time was spent on, in milliseconds.
    pub spans_ms: BTreeMap<String, f64>,
    /// Whether it was shown as failed.
    pub shown_failed: bool,
    /// Whether an earlier planner had it too.
    pub taken_over: bool,
    /// What went wrong on the way.
    pub setbacks: BTreeSet<String>,
}

/// Longest wait for a record that is not an outage, in milliseconds.
const ORDINARY_WRITE_MS: f64 = 300.0;
/// Time before acceptance that is a caller's further try, in milliseconds.
const FURTHER_TRY_MS: f64 = 100.0;
/// Part of a queue's runs that take at most the longest span that counts as work.
const ORDINARY_PART: f64 = 0.95;

/// What the jobs of one queue have in common.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueHabits {
    /// How many times as long as its estimate the middle one ran, at least once.
    pub usual: f64,
    /// The same for the longest that still counts as work and not as held up.
    pub longest: f64,
    /// How much its aim grows with each millisecond of work.
    pub stretch: f64,
}

impl QueueHabits {
    /// Reads them off the jobs of a queue that nothing disturbed; none where there are none.
    fn of(undisturbed: &[&EndedJob]) -> Option<Self> {
        let estimated = undisturbed.iter().filter(|job| job.estimate_ms > 0.0);
        let mut proportions: Vec<f64> = estimated.map(|j| j.work_ms / j.estimate_ms).collect();
        proportions.sort_by(f64::total_cmp);
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "an index"
        )]
        let at = |part: f64| {
            proportions.get((proportions.len().saturating_sub(1) as f64 * part) as usize)
        };
        let by_work = |a: &&&EndedJob, b: &&&EndedJob| a.work_ms.total_cmp(&b.work_ms);
        let shortest = undisturbed.iter().min_by(by_work)?;
        let longest = undisturbed.iter().max_by(by_work)?;
        let grown_ms = longest.work_ms - shortest.work_ms;
        Some(Self {
            usual: at(0.5)?.max(1.0),
            longest: at(ORDINARY_PART)?.max(1.0),
            stretch: if grown_ms > 0.0 {
                (longest.aim_ms - shortest.aim_ms) / grown_ms
            } else {
                longest.aim_ms / longest.work_ms.max(1.0)
            },
        })
    }
}

impl EndedJob {
    fn span(&self, name: &str) -> f64 {
        self.spans_ms.get(name).copied().unwrap_or_default()
    }

    /// Tells whether all of its last run was in sight of one planner that could write.
    #[must_use]
    pub fn was_in_sight(&self) -> bool {
        !self.taken_over && self.span("silent") == 0.0 && self.span("write") < ORDINARY_WRITE_MS
    }

    /// Returns how long its work should have taken, in milliseconds.
    ///
    /// Callers' estimates are right in the middle: where runs of a queue usually take longer, its
    /// workers are slower than the sound ones that its aim is set by. What a run took beyond what
    /// is ordinary, or out of sight, is not work.
    fn should_work_ms(&self, habits: &QueueHabits) -> f64 {
        let ordinary = habits.longest / habits.usual;
        let most = if self.was_in_sight() { ordinary } else { 1.0 };
        (self.work_ms / habits.usual).min(self.estimate_ms * most)
    }

    /// Tells whether it was late; without its queue's habits by its last run as it was. Of a job
    /// that is shown as failed that is not known: how much it should have worked is not.
    #[must_use]
    pub fn is_late(&self, habits: Option<&QueueHabits>) -> bool {
        let surplus_ms = habits.map_or(0.0, |habits| {
            (self.work_ms - self.should_work_ms(habits)) * habits.stretch
        });
        !self.shown_failed && self.whole_ms > self.aim_ms - surplus_ms
    }

    /// Returns what made it late: a setback, callers who had to try again, what happened out of
    /// sight, or else what it spent most time on beside running.
    #[must_use]
    pub fn cause(&self) -> String {
        const GRAVEST: [&str; 7] = [
            "lost",
            "gave-way",
            "stalled",
            "worker-left",
            "not-started",
            "place-given-up",
            "failed",
        ];
        if let Some(setback) = GRAVEST.iter().find(|name| self.setbacks.contains(**name)) {
            return (*setback).to_owned();
        }
        let before_ms = self.whole_ms - self.accepted_ms;
        let waits = self.spans_ms.iter().filter(|(span, _)| *span != "run");
        let longest = waits.max_by(|a, b| a.1.total_cmp(b.1));
        match longest {
            _ if before_ms > FURTHER_TRY_MS => "accepted late".to_owned(),
            Some((span, ms)) if *ms > FURTHER_TRY_MS => format!("waited: {span}"),
            _ if !self.was_in_sight() => "ended out of sight".to_owned(),
            _ => "ran slowly".to_owned(),
        }
    }
}

/// Returns what the jobs of each queue have in common.
#[must_use]
pub fn queue_habits(jobs: &BTreeMap<String, LoggedJob>) -> BTreeMap<String, QueueHabits> {
    let mut by_queue: BTreeMap<&str, Vec<&EndedJob>> = BTreeMap::new();
    let ended = jobs.values().filter_map(|job| job.ended.as_ref());
    for job in ended.filter(|job| job.setbacks.is_empty() && job.was_in_sight()) {
        by_queue.entry(&job.queue).or_default().push(job);
    }
    let by_queue = by_queue.into_iter();
    by_queue
        .filter_map(|(queue, jobs)| Some((queue.to_owned(), QueueHabits::of(&jobs)?)))
        .collect()
}

/// Why jobs were late or not taken: how many, by cause and priority.
pub type Causes = BTreeMap<(String, u8), u32>;

/// Reads the jobs of a day from its log.
///
/// Each line begins with the second of the day and the VM's name; then follow
/// the time, the level, the target, key-values and the text.
#[must_use]
pub fn read_jobs(log: &str) -> BTreeMap<String, LoggedJob> {
    let mut jobs: BTreeMap<String, LoggedJob> = BTreeMap::new();
    for line in log.lines() {
        let mut words = line.split_whitespace();
        let Some(at) = words.next().and_then(|word| word.parse::<f64>().ok()) else {
            continue;
        };
        let words: Vec<&str> = words.collect();
        let [_, _, _, target, rest @ ..] = words.as_slice() else {
            continue;
        };
        let values = key_values(rest);
        let Some(id) = values.get("job").copied() else {
            continue;
        };
        match *target {
            "accept" if values.contains_key("tasks") => {
                let is_taken = matches!(rest.last(), Some(&"Accepted" | &"Known"));
                let job = jobs.entry(id.to_owned()).or_insert_with(|| LoggedJob {
                    first_at: at,
                    ..LoggedJob::default()
                });
                job.is_taken |= is_taken;
            }
            "job" => {
                let job = jobs.entry(id.to_owned()).or_default();
                job.is_taken = true;
                job.ended = ended(&values, at, job.first_at);
            }
            _ => {}
        }
    }
    jobs
}

fn key_values<'a>(words: &[&'a str]) -> BTreeMap<&'a str, &'a str> {
    let pairs = words.iter().filter_map(|word| word.split_once('='));
    pairs.collect()
}

fn ended(values: &BTreeMap<&str, &str>, at: f64, first_at: f64) -> Option<EndedJob> {
    const SPANS: [&str; 9] = [
        "known", "room", "stops", "record", "start", "run", "rerun", "silent", "write",
    ];
    if *values.get("outcome")? == "Cancelled" {
        return None;
    }
    let number = |name: &str| values.get(name).and_then(|value| value.parse::<f64>().ok());
    let spans = SPANS.iter().filter_map(|span| {
        let spent = number(&format!("{span}_ms"))?;
        Some(((*span).to_owned(), spent))
    });
    let setbacks = values.get("setbacks").copied().unwrap_or("none");
    let setbacks = setbacks.split(',').filter(|word| *word != "none");
    let shown_failed = *values.get("outcome")? == "Failed";
    let setbacks = setbacks.map(|word| word.split(':').next().unwrap_or(word).to_owned());
    Some(EndedJob {
        queue: (*values.get("queue")?).to_owned(),
        priority: values.get("priority")?.parse().ok()?,
        zone: (*values.get("zone")?).to_owned(),
        whole_ms: (at - first_at) * 1_000.0,
        accepted_ms: number("whole_ms")?,
        aim_ms: number("aim_ms")?,
        work_ms: number("work_ms")?,
        estimate_ms: number("estimate_ms").unwrap_or_default(),
        taken_over: values.get("taken_over").copied() == Some("true"),
        spans_ms: spans.collect(),
        shown_failed,
        setbacks: setbacks.collect(),
    })
}

/// Counts why jobs that were handed in from second 0 of the day on were late or not taken.
pub fn count(
    jobs: &BTreeMap<String, LoggedJob>,
    causes: &mut Causes,
    windows: &mut BTreeMap<u32, u32>,
) {
    let habits = queue_habits(jobs);
    for job in jobs.values().filter(|job| job.first_at >= 0.0) {
        let cause = match &job.ended {
            Some(ended) if ended.is_late(habits.get(&ended.queue)) => {
                (ended.cause(), ended.priority)
            }
            None if !job.is_taken => ("not taken".to_owned(), u8::MAX),
            _ => continue,
        };
        *causes.entry(cause).or_default() += 1;
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "seconds of a day, not negative"
        )]
        let window = job.first_at as u32 / 2 * 2;
        *windows.entry(window).or_default() += 1;
    }
}

//! Counters, gauges and latency histograms, served as Prometheus text.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

use stairstall_core::batch::{ContactLag, PaceSummary};
use stairstall_ports::RefusedEntry;

use crate::intake::IntakeUse;

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// Metrics of one daemon, listed in docs/METRICS.md.
#[derive(Debug)]
pub(crate) struct Telemetry {
    registry: Registry,
    calls: IntCounterVec,
    call_time: HistogramVec,
    store_calls: IntCounterVec,
    store_time: HistogramVec,
    decisions: IntCounterVec,
    orders: IntCounterVec,
    reports: IntCounterVec,
    ended_tasks: IntCounterVec,
    phases: HistogramVec,
    admissions: IntCounterVec,
    first_start: Histogram,
    takeover: Histogram,
    catalog_version: IntGauge,
    catalog_age: IntGauge,
    refused_entries: IntGaugeVec,
    /// Version of the configuration whose refused entries are shown.
    refused_version: AtomicU64,
    load_age: IntGauge,
    intake: IntGaugeVec,
    planner: PlannerGauges,
    dropped_lines: IntGauge,
}

fn counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect("constant names are valid")
}

fn histogram_options(name: &str, help: &str) -> HistogramOpts {
    HistogramOpts::new(name, help).buckets(BUCKETS.to_vec())
}

fn histograms(name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    HistogramVec::new(histogram_options(name, help), labels).expect("constant names are valid")
}

fn histogram(name: &str, help: &str) -> Histogram {
    Histogram::with_opts(histogram_options(name, help)).expect("constant names are valid")
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("constant names are valid")
}

/// Converts a count to the value of a gauge.
fn gauge_count(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Converts a duration to the value of a gauge, in whole milliseconds.
fn gauge_millis(duration: Duration) -> i64 {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
}

/// Gauges that the planner sets; 0 at other daemons.
#[derive(Debug)]
struct PlannerGauges {
    open_jobs: IntGauge,
    runs: IntGauge,
    oldest_fitting_wait: IntGauge,
    idle_jobs: IntGauge,
    oldest_guaranteed_wait: IntGauge,
    silent_workers: IntGauge,
    unverified_workers: IntGauge,
    unselected_workers: IntGauge,
    oldest_report: IntGauge,
    report_wait: IntGauge,
    starts_under_way: IntGauge,
    clock_drift: IntGauge,
    lateness: IntGauge,
    pass: IntGauge,
    evacuated_zones: IntGauge,
    evacuations_age: IntGauge,
    known_paces: IntGauge,
    slow_workers: IntGauge,
}

impl PlannerGauges {
    fn new() -> Self {
        Self {
            open_jobs: gauge("stairstall_open_jobs", "Jobs that have not ended"),
            runs: gauge("stairstall_runs", "Runs at workers"),
            oldest_fitting_wait: gauge(
                "stairstall_oldest_fitting_wait_milliseconds",
                "How long a step has waited for placements at most although its tasks fit",
            ),
            idle_jobs: gauge(
                "stairstall_idle_jobs",
                "Jobs that have had nothing running for a second although a step fits twice over",
            ),
            oldest_guaranteed_wait: gauge(
                "stairstall_oldest_guaranteed_wait_milliseconds",
                "How long a step of a guaranteed job has waited for placements at most",
            ),
            silent_workers: gauge("stairstall_silent_workers", "Workers that do not answer"),
            unverified_workers: gauge(
                "stairstall_unverified_workers",
                "Workers that answer and may not list their run ends",
            ),
            unselected_workers: gauge(
                "stairstall_unselected_workers",
                "Workers that the planner's VM can't hold connections to",
            ),
            oldest_report: gauge(
                "stairstall_oldest_report_milliseconds",
                "Since a busy worker that answers was heard, at the most",
            ),
            report_wait: gauge(
                "stairstall_report_wait_milliseconds",
                "How long workers wait for an end before they report",
            ),
            starts_under_way: gauge(
                "stairstall_starts_under_way",
                "Starts without an answer, and places without a record",
            ),
            clock_drift: gauge(
                "stairstall_worker_clock_drift_milliseconds",
                "How far a worker's clock fell behind between two readings, at the most",
            ),
            lateness: gauge(
                "stairstall_planner_lateness_milliseconds",
                "How late the planner's process runs what is due",
            ),
            pass: gauge(
                "stairstall_planner_pass_milliseconds",
                "What a pass over the waiting work takes, in the mean",
            ),
            evacuated_zones: gauge(
                "stairstall_evacuated_zones",
                "Availability zones in which nothing may start",
            ),
            evacuations_age: gauge(
                "stairstall_evacuations_age_milliseconds",
                "Since the list of evacuated zones was asked for",
            ),
            known_paces: gauge("stairstall_known_paces", "Workers whose pace is known"),
            slow_workers: gauge(
                "stairstall_slow_workers",
                "Workers that are known to be slower than usual",
            ),
        }
    }

    fn collectors(&self) -> Vec<Box<dyn prometheus::core::Collector>> {
        let gauges = [
            &self.open_jobs,
            &self.runs,
            &self.oldest_fitting_wait,
            &self.idle_jobs,
            &self.oldest_guaranteed_wait,
            &self.silent_workers,
            &self.unverified_workers,
            &self.unselected_workers,
            &self.oldest_report,
            &self.report_wait,
            &self.starts_under_way,
            &self.clock_drift,
            &self.lateness,
            &self.pass,
            &self.evacuated_zones,
            &self.evacuations_age,
            &self.known_paces,
            &self.slow_workers,
        ];
        let boxed =
            |gauge: &IntGauge| -> Box<dyn prometheus::core::Collector> { Box::new(gauge.clone()) };
        gauges.into_iter().map(boxed).collect()
    }
}

impl Telemetry {
    pub(crate) fn new() -> Self {
        let telemetry = Self {
            registry: Registry::new(),
            calls: counters(
                "stairstall_calls_total",
                "Callers' calls by kind and status",
                &["kind", "status"],
            ),
            call_time: histograms(
                "stairstall_call_seconds",
                "Time of callers' calls",
                &["kind"],
            ),
            store_calls: counters(
                "stairstall_store_calls_total",
                "Calls to the store by kind and outcome",
                &["kind", "outcome"],
            ),
            store_time: histograms(
                "stairstall_store_seconds",
                "Time of calls to the store",
                &["kind"],
            ),
            decisions: counters(
                "stairstall_decisions_total",
                "The planner's decisions by kind",
                &["kind"],
            ),
            orders: counters(
                "stairstall_orders_total",
                "Orders to workers by kind and outcome",
                &["kind", "outcome"],
            ),
            reports: counters(
                "stairstall_holds_total",
                "Renewals and reports of workers by outcome",
                &["outcome"],
            ),
            ended_tasks: counters(
                "stairstall_ended_tasks_total",
                "Background tasks that ended before their time",
                &["task"],
            ),
            phases: histograms(
                "stairstall_job_span_seconds",
                "What ended jobs spent time on, by their queue's priority",
                &["priority", "span"],
            ),
            admissions: counters(
                "stairstall_admissions_total",
                "Jobs that were handed in, by their queue's priority and what was decided",
                &["priority", "outcome"],
            ),
            first_start: histogram(
                "stairstall_first_start_seconds",
                "From a job's acceptance to its first start",
            ),
            takeover: histogram(
                "stairstall_takeover_seconds",
                "From taking the planner's role to the first decision",
            ),
            catalog_version: gauge("stairstall_catalog_version", "Configuration in force"),
            refused_entries: IntGaugeVec::new(
                Opts::new(
                    "stairstall_catalog_refused_entry",
                    "1 for each entry of the configuration in force that can't be read",
                ),
                &["entry"],
            )
            .expect("constant names are valid"),
            refused_version: AtomicU64::new(0),
            intake: IntGaugeVec::new(
                Opts::new(
                    "stairstall_caller_intake",
                    "What callers hold, and what has given way since the start",
                ),
                &["what"],
            )
            .expect("constant names are valid"),
            catalog_age: gauge(
                "stairstall_catalog_age_milliseconds",
                "Since the configuration was known to be the newest",
            ),
            load_age: gauge(
                "stairstall_load_age_milliseconds",
                "How old the planner's word on the load was when a job was last handed in",
            ),
            planner: PlannerGauges::new(),
            dropped_lines: gauge("stairstall_log_lines_dropped", "Log lines left out"),
        };
        telemetry.register();
        telemetry
    }

    fn register(&self) {
        let collectors: [Box<dyn prometheus::core::Collector>; 18] = [
            Box::new(self.calls.clone()),
            Box::new(self.call_time.clone()),
            Box::new(self.store_calls.clone()),
            Box::new(self.store_time.clone()),
            Box::new(self.decisions.clone()),
            Box::new(self.orders.clone()),
            Box::new(self.reports.clone()),
            Box::new(self.ended_tasks.clone()),
            Box::new(self.phases.clone()),
            Box::new(self.admissions.clone()),
            Box::new(self.first_start.clone()),
            Box::new(self.takeover.clone()),
            Box::new(self.catalog_version.clone()),
            Box::new(self.catalog_age.clone()),
            Box::new(self.refused_entries.clone()),
            Box::new(self.load_age.clone()),
            Box::new(self.intake.clone()),
            Box::new(self.dropped_lines.clone()),
        ];
        for collector in collectors.into_iter().chain(self.planner.collectors()) {
            self.registry
                .register(collector)
                .expect("each name is registered once");
        }
    }

    pub(crate) fn call(&self, kind: &'static str, status: u16, took: Duration) {
        let status = status.to_string();
        self.calls.with_label_values(&[kind, &status]).inc();
        self.call_time
            .with_label_values(&[kind])
            .observe(took.as_secs_f64());
    }

    /// Counts a call that was dropped before it had an answer.
    pub(crate) fn dropped_call(&self, kind: &'static str) {
        self.calls.with_label_values(&[kind, "dropped"]).inc();
    }

    pub(crate) fn store_call(&self, kind: &'static str, outcome: &'static str, took: Duration) {
        self.store_calls.with_label_values(&[kind, outcome]).inc();
        self.store_time
            .with_label_values(&[kind])
            .observe(took.as_secs_f64());
    }

    pub(crate) fn decision(&self, kind: &'static str) {
        self.decisions.with_label_values(&[kind]).inc();
    }

    pub(crate) fn order(&self, kind: &'static str, outcome: &'static str) {
        self.orders.with_label_values(&[kind, outcome]).inc();
    }

    pub(crate) fn report(&self, outcome: &'static str) {
        self.reports.with_label_values(&[outcome]).inc();
    }

    /// Counts a background task that ended before its time.
    pub(crate) fn task_ended(&self, name: &'static str) {
        self.ended_tasks.with_label_values(&[name]).inc();
    }

    pub(crate) fn phase(&self, priority: u8, phase: &'static str, spent: Duration) {
        let priority = priority.to_string();
        self.phases
            .with_label_values(&[priority.as_str(), phase])
            .observe(spent.as_secs_f64());
    }

    /// Counts a submitted job by outcome: accepted, or the reason for its refusal.
    pub(crate) fn admission(&self, priority: u8, outcome: &'static str) {
        let priority = priority.to_string();
        self.admissions
            .with_label_values(&[priority.as_str(), outcome])
            .inc();
    }

    pub(crate) fn load_age(&self, age: Duration) {
        self.load_age.set(gauge_millis(age));
    }

    pub(crate) fn first_start(&self, after: Duration) {
        self.first_start.observe(after.as_secs_f64());
    }

    pub(crate) fn takeover(&self, took: Duration) {
        self.takeover.observe(took.as_secs_f64());
    }

    pub(crate) fn catalog(&self, version: u64) {
        self.catalog_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Shows the entries of a configuration that can't be read; returns whether they were not shown
    /// before.
    pub(crate) fn refused_entries(&self, version: u64, refused: &[RefusedEntry]) -> bool {
        let shown = self.refused_version.fetch_max(version, Ordering::AcqRel);
        if shown >= version {
            return false;
        }
        self.refused_entries.reset();
        for entry in refused {
            self.refused_entries
                .with_label_values(&[entry.entry.as_str()])
                .set(1);
        }
        true
    }

    pub(crate) fn intake(&self, in_use: IntakeUse) {
        for (name, value) in in_use.named() {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            self.intake.with_label_values(&[name]).set(value);
        }
    }

    pub(crate) fn catalog_age(&self, age: Duration) {
        self.catalog_age.set(gauge_millis(age));
    }

    pub(crate) fn load(&self, open_jobs: usize, runs: usize) {
        self.planner.open_jobs.set(gauge_count(open_jobs));
        self.planner.runs.set(gauge_count(runs));
    }

    pub(crate) fn oldest_fitting_wait(&self, waited: Duration) {
        self.planner.oldest_fitting_wait.set(gauge_millis(waited));
    }

    pub(crate) fn idle_jobs(&self, count: usize) {
        self.planner.idle_jobs.set(gauge_count(count));
    }

    pub(crate) fn oldest_guaranteed_wait(&self, waited: Duration) {
        self.planner
            .oldest_guaranteed_wait
            .set(gauge_millis(waited));
    }

    pub(crate) fn paces(&self, paces: &PaceSummary) {
        self.planner.known_paces.set(gauge_count(paces.known));
        self.planner.slow_workers.set(gauge_count(paces.slow));
    }

    pub(crate) fn evacuated_zones(&self, zones: usize, age: Duration) {
        self.planner.evacuated_zones.set(gauge_count(zones));
        self.planner.evacuations_age.set(gauge_millis(age));
    }

    pub(crate) fn contact(&self, lag: &ContactLag) {
        self.planner
            .silent_workers
            .set(gauge_count(lag.unresponsive));
        self.planner
            .unverified_workers
            .set(gauge_count(lag.unverified));
        self.planner
            .unselected_workers
            .set(gauge_count(lag.unselected));
        self.planner
            .oldest_report
            .set(gauge_millis(lag.oldest_report));
        self.planner.report_wait.set(gauge_millis(lag.report_wait));
        self.planner.clock_drift.set(gauge_millis(lag.clock_drift));
        self.planner.lateness.set(gauge_millis(lag.lateness));
        self.planner.pass.set(gauge_millis(lag.pass));
        self.planner
            .starts_under_way
            .set(gauge_count(lag.starts_in_flight));
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> Vec<u8> {
        let dropped = crate::logging::dropped_lines();
        self.dropped_lines
            .set(i64::try_from(dropped).unwrap_or(i64::MAX));
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(target: "metrics", error:% = error; "can't encode metrics");
        }
        text
    }
}

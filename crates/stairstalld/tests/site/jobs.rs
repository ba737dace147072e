//! Draws the jobs of a site: three kinds, of which each has a queue of its own.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use stairstall_platform_standin::Capacity;

/// What a task of a step needs, and how many there are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    pub count: u64,
    pub needs: Capacity,
    pub gang: bool,
    pub same_rack: bool,
    /// The rack of its data.
    pub near: Option<String>,
    /// How many of its tasks one worker carries at most.
    pub spread: Option<u64>,
    pub estimate_ms: u64,
}

/// A job as it is handed in.
#[derive(Debug, Clone)]
pub struct Job {
    pub id: String,
    pub kind: &'static str,
    pub customer: usize,
    pub steps: Vec<Step>,
    pub body: Value,
}

/// One kind of job.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub name: &'static str,
    /// How many are handed in a second.
    pub per_s: f64,
    /// How many are handed in before the traffic.
    pub before: usize,
    pub priority: u8,
    pub attempts: u8,
    pub stretch: f64,
    pub objective_ms: u64,
    /// Mean, relative spread and longest of a task's work in milliseconds.
    pub work_ms: (f64, f64, f64),
    /// Mean, relative spread and most of the tasks of a step.
    pub width: (f64, f64, f64),
    /// Mean and most of the steps.
    pub steps: (f64, u64),
    pub cpu: u64,
    pub mem_mb: u64,
    pub accelerators: &'static [u64],
    pub gang: bool,
    /// Share of its gangs that want one rack.
    pub tight: f64,
    /// Share of its steps that have their data in a rack.
    pub near: f64,
    /// Share of its steps of which one worker carries few tasks.
    pub spread: f64,
    /// By what share an estimate may be wrong.
    pub estimate_off: f64,
    /// Share of its jobs of which one run fails.
    pub fails_once: f64,
}

pub const KINDS: [Kind; 3] = [
    Kind {
        name: "scan",
        per_s: 2.1,
        before: 14,
        priority: 1,
        attempts: 2,
        stretch: 3.0,
        objective_ms: 1_000,
        work_ms: (6_800.0, 0.3, 11_000.0),
        width: (13.0, 0.8, 78.0),
        steps: (1.0, 1),
        cpu: 13_000,
        mem_mb: 53_000,
        accelerators: &[1, 2, 4, 8, 8],
        gang: true,
        tight: 0.6,
        near: 0.3,
        spread: 0.0,
        estimate_off: 0.9,
        fails_once: 0.05,
    },
    Kind {
        name: "check",
        per_s: 8.94,
        before: 0,
        priority: 0,
        attempts: 3,
        stretch: 1.5,
        objective_ms: 300,
        work_ms: (2_500.0, 0.5, 8_000.0),
        width: (5.4, 0.8, 32.0),
        steps: (1.0, 1),
        cpu: 3_700,
        mem_mb: 20_000,
        accelerators: &[1, 2, 4, 8, 8],
        gang: true,
        tight: 0.8,
        near: 0.0,
        spread: 0.0,
        estimate_off: 0.5,
        fails_once: 0.05,
    },
    Kind {
        name: "rescan",
        per_s: 1.65,
        before: 18,
        priority: 2,
        attempts: 4,
        stretch: 3.0,
        objective_ms: 3_000,
        work_ms: (7_600.0, 0.3, 11_000.0),
        width: (39.0, 0.8, 230.0),
        steps: (1.3, 3),
        cpu: 2_800,
        mem_mb: 15_000,
        accelerators: &[1],
        gang: false,
        tight: 0.0,
        near: 0.12,
        spread: 0.12,
        estimate_off: 0.5,
        fails_once: 0.005,
    },
];

/// Draws jobs; the same for the same seed.
pub struct Jobs {
    pub random: Pcg64Mcg,
    pub racks: usize,
    pub customers: usize,
    /// How many jobs are handed in, in percent of what the kinds say.
    pub load_percent: u32,
    pub next: u64,
}

impl Jobs {
    fn chance(&mut self, share: f64) -> bool {
        self.random.random_range(0.0..1.0) < share
    }

    /// Draws from a distribution with a long tail.
    fn spread(&mut self, (mean, spread, most): (f64, f64, f64)) -> f64 {
        let normal: f64 = (0..12).map(|_| self.random.random_range(0.0..1.0)).sum();
        let sigma = (1.0 + spread * spread).ln().sqrt();
        (mean * (sigma * (normal - 6.0) - sigma * sigma / 2.0).exp()).min(most)
    }

    /// Returns the time until the next job of a kind, in seconds.
    pub fn pause(&mut self, kind: &Kind) -> f64 {
        let per_s = kind.per_s * f64::from(self.load_percent) / 100.0;
        -self.random.random_range(f64::EPSILON..1.0).ln() / per_s
    }

    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "small positive numbers"
    )]
    pub fn draw(&mut self, kind: &Kind) -> Job {
        self.next += 1;
        let id = format!("{:016x}", self.next);
        let work_ms = self.spread(kind.work_ms).max(50.0);
        let off = self
            .random
            .random_range(-kind.estimate_off..=kind.estimate_off);
        let estimate_ms = (work_ms * (1.0 + off)).max(1.0) as u64;
        let accelerators = kind.accelerators[self.random.random_range(0..kind.accelerators.len())];
        let needs = Capacity {
            cpu: kind.cpu,
            mem_mb: kind.mem_mb,
            gpu: accelerators,
        };
        let extra = self.chance((kind.steps.0 - 1.0) / 1.2);
        let step_count = if extra {
            self.random.random_range(2..=kind.steps.1.max(2))
        } else {
            1
        };
        let steps: Vec<Step> = (0..step_count)
            .map(|_| Step {
                count: self.spread(kind.width).round().max(1.0) as u64,
                needs,
                gang: kind.gang,
                same_rack: kind.gang && self.chance(kind.tight),
                near: self
                    .chance(kind.near)
                    .then(|| format!("r1-{}", self.random.random_range(0..self.racks))),
                spread: self.chance(kind.spread).then_some(2),
                estimate_ms,
            })
            .collect();
        let fails = self.chance(kind.fails_once);
        // Most customers are small.
        let share: f64 = self.random.random_range(0.0..1.0);
        let customer = (share.powf(2.0) * self.customers as f64) as usize;
        let body = body(&steps, work_ms as u64, fails);
        Job {
            id,
            kind: kind.name,
            customer,
            steps,
            body,
        }
    }
}

/// Returns the body that hands a job in. The stand-in's workers read what a task does from its text,
/// which all steps share.
fn body(steps: &[Step], ms: u64, fails: bool) -> Value {
    let first = &steps[0];
    let needs = first.needs;
    let mut words = vec![
        format!("ms={ms}"),
        format!("cpu={}", needs.cpu),
        format!("mem={}", needs.mem_mb),
        format!("gpu={}", needs.gpu),
    ];
    words.extend(first.gang.then(|| format!("gang={}", first.count)));
    words.extend(first.same_rack.then(|| "tight".to_owned()));
    words.extend(first.near.iter().map(|rack| format!("near={rack}")));
    words.extend(fails.then(|| "fail-first".to_owned()));
    let text = words.join(" ");
    let steps = steps.iter().enumerate().map(|(index, step)| {
        let mut form = json!({"count": step.count, "cpu": step.needs.cpu, "memMb": step.needs.mem_mb,
            "gpu": step.needs.gpu, "estimateMs": step.estimate_ms});
        if index > 0 {
            form["dependsOn"] = json!([index - 1]);
        }
        if step.gang {
            form["gang"] = json!(true);
        }
        if step.same_rack {
            form["sameRack"] = json!(true);
        }
        if let Some(rack) = &step.near {
            form["affinity"] = json!(rack);
        }
        if let Some(spread) = step.spread {
            form["antiAffinity"] = json!(spread);
        }
        form
    });
    json!({"spec": text, "steps": steps.collect::<Vec<Value>>()})
}

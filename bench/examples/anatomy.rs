//! Plays days and prints why jobs were late or not taken, by cause, class and window.
//!
//! ```sh
//! cargo run --release -p stairstall-bench --example anatomy -- --bench BENCH --site SITE.toml \
//!     --days trouble-1,scale-1 --seeds own,1 --why "what binds"
//! ```

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::{Command, ExitCode};

use bpaf::{OptionParser, Parser, construct, long};
use stairstall_bench::{Causes, count_causes, flags, in_parallel, read_jobs};

#[derive(Debug, Clone)]
struct Options {
    bench: PathBuf,
    site: PathBuf,
    days: String,
    seeds: String,
    jobs: usize,
    why: String,
}

fn parser() -> OptionParser<Options> {
    let site = long("site").help("The site file").argument("FILE");
    let bench = flags::bench();
    let days = flags::days();
    let seeds = flags::seeds();
    let jobs = flags::jobs();
    let why = long("why").help("What is looked for").argument("TEXT");
    construct!(Options {
        bench,
        site,
        days,
        seeds,
        jobs,
        why
    })
    .to_options()
    .descr("Says why jobs were late or not taken on days of the users' bench")
}

fn main() -> ExitCode {
    let options = parser().run();
    let days = options.days.split(',');
    let plays = days.flat_map(|day| options.seeds.split(',').map(move |seed| (day, seed)));
    let plays: Vec<(&str, &str)> = plays.collect();
    let played = in_parallel(&plays, options.jobs, |_, (day, seed)| {
        let log = log_of(&options, day, seed)?;
        Some(read_jobs(&log))
    });
    let mut causes = Causes::new();
    let mut windows = BTreeMap::new();
    for jobs in &played {
        count_causes(jobs, &mut causes, &mut windows);
    }
    print(&causes, &windows, played.len());
    ExitCode::SUCCESS
}

fn log_of(options: &Options, day: &str, seed: &str) -> Option<String> {
    let mut command = Command::new(&options.bench);
    command.arg("run").arg(&options.site).arg(day);
    command.args(["--no-cpu", "--log", "all", "--why", &options.why]);
    if seed != "own" {
        command.args(["--seed", seed]);
    }
    match command.output() {
        Ok(output) if output.status.success() => {
            Some(String::from_utf8_lossy(&output.stderr).into_owned())
        }
        Ok(output) => {
            eprintln!("{day} {seed}: {}", output.status);
            None
        }
        Err(error) => {
            eprintln!("{day} {seed}: {error}");
            None
        }
    }
}

fn print(causes: &Causes, windows: &BTreeMap<u32, u32>, days: usize) {
    println!("{days} days\n\n| cause | priority | jobs |\n|---|---|---|");
    let mut rows: Vec<_> = causes.iter().collect();
    rows.sort_by_key(|(_, jobs)| std::cmp::Reverse(**jobs));
    for ((cause, priority), jobs) in rows {
        let priority = if *priority == u8::MAX {
            "any".to_owned()
        } else {
            priority.to_string()
        };
        println!("| {cause} | {priority} | {jobs} |");
    }
    println!("\n| handed in from second | jobs |\n|---|---|");
    for (window, jobs) in windows {
        println!("| {window} | {jobs} |");
    }
}

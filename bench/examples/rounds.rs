//! Plays variants of the policy on the same days and prints how they compare.
//!
//! ```sh
//! cargo run --release -p stairstall-bench --example rounds -- --bench BENCH --site SITE.toml \
//!     --seeds 1,2,3 --why "less headroom" as-is 'less:headroom.kept_seconds=0.1'
//! ```

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long, positional};
use stairstall_bench::{BenchError, Checkout, Comparison, Play, Runner, Variant, flags, play};

#[derive(Debug, Clone)]
struct Options {
    bench: PathBuf,
    sites: Vec<PathBuf>,
    days: String,
    seeds: String,
    jobs: usize,
    scratch: PathBuf,
    why: String,
    variants: Vec<String>,
}

fn parser() -> OptionParser<Options> {
    let sites = long("site")
        .help("A site file; may be given several times")
        .argument("FILE")
        .some("a site is needed");
    let bench = flags::bench();
    let days = flags::days();
    let seeds = flags::seeds();
    let jobs = flags::jobs();
    let scratch = long("scratch")
        .help("Where the checkout is copied to; kept for the next time")
        .argument("DIR")
        .fallback(PathBuf::from("/tmp/stairstall-rounds"));
    let why = long("why").help("What is tried").argument("TEXT");
    let variants = positional("VARIANT")
        .help("NAME, or NAME:GROUP.FIELD=VALUE+GROUP.FIELD=VALUE; the first one is compared with")
        .some("a variant is needed");
    construct!(Options {
        bench,
        sites,
        days,
        seeds,
        jobs,
        scratch,
        why,
        variants
    })
    .to_options()
    .descr("Compares variants of the policy on days of the users' bench")
}

fn main() -> ExitCode {
    match compare(&parser().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn compare(options: &Options) -> Result<(), BenchError> {
    let variants: Vec<Variant> = options
        .variants
        .iter()
        .map(|text| text.parse())
        .collect::<Result<_, _>>()?;
    let here = std::env::current_dir();
    let here = here.map_err(|error| BenchError::File(PathBuf::from("."), error))?;
    let checkout = Checkout::copy(&here, &options.scratch)?;
    let runner = Runner {
        bench: absolute(&options.bench)?,
        jobs: options.jobs,
        why: format!("trial on a scratch copy: {}", options.why),
    };
    let plays = plays(options)?;
    let mut comparison = Comparison::default();
    for variant in &variants {
        let days = play(&checkout, &runner, variant, &plays)?;
        comparison.add(&variant.name, days);
    }
    checkout.keep_entries()?;
    println!(
        "| site | variant | days | worth | difference | worst day | windows | waste | broken |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for row in comparison.rows() {
        println!("{row}");
    }
    Ok(())
}

fn absolute(path: &std::path::Path) -> Result<PathBuf, BenchError> {
    path.canonicalize()
        .map_err(|error| BenchError::File(path.to_owned(), error))
}

fn plays(options: &Options) -> Result<Vec<Play>, BenchError> {
    let mut plays = Vec::new();
    for site in &options.sites {
        let site = absolute(site)?;
        for day in options.days.split(',') {
            for seed in options.seeds.split(',') {
                plays.push(Play {
                    site: site.clone(),
                    day: day.to_owned(),
                    seed: seed.parse().ok(),
                });
            }
        }
    }
    Ok(plays)
}

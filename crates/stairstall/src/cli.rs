//! Reads the command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, ParseFailure, Parser, construct, long, positional};
use stairstall_core::config::{ResourceKind, Revision};
use stairstall_core::placement::JobKey;
use stairstall_core::{
    ChangeId, ClassId, CustomerId, JobId, Labels, RequestId, Selector, ServiceId,
};

use crate::exit;

/// How answers are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Tables for people.
    Human,
    /// JSON for scripts.
    Json,
}

impl std::str::FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "human" => Ok(Self::Human),
            "json" => Ok(Self::Json),
            _ => Err("the output is human or json".to_owned()),
        }
    }
}

/// A job as an operator names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NamedJob {
    /// A job of the native interface.
    Native(JobKey),
    /// A job of the batch mode, which its id alone names.
    Batch(JobId),
}

impl std::str::FromStr for NamedJob {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        if text.contains('/') {
            return text
                .parse::<JobKey>()
                .map(Self::Native)
                .map_err(|e| e.to_string());
        }
        text.parse::<JobId>()
            .map(Self::Batch)
            .map_err(|e| e.to_string())
    }
}

/// What queries and changes are about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// Resources of the configuration.
    Config(ResourceKind),
    /// Jobs.
    Jobs,
}

impl std::str::FromStr for Subject {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        if ["job", "jobs"].contains(&text) {
            return Ok(Self::Jobs);
        }
        text.parse()
            .map(Self::Config)
            .map_err(|e| format!("{e}, and jobs"))
    }
}

/// How a change is made.
#[derive(Debug, Clone)]
pub struct ChangeOptions {
    /// Only say what it would do.
    pub dry_run: bool,
    /// The revision it is based on.
    pub base: Option<Revision>,
    /// Its id.
    pub id: Option<ChangeId>,
}

/// A request to a service.
#[derive(Debug, Clone)]
pub struct CallOptions {
    /// The customer.
    pub customer: CustomerId,
    /// The priority class.
    pub class: ClassId,
    /// The request's id.
    pub id: Option<RequestId>,
    /// Labels.
    pub labels: Option<Labels>,
    /// Milliseconds to wait.
    pub deadline_ms: Option<u64>,
    /// Whether it must not run twice.
    pub not_repeatable: bool,
    /// The body.
    pub data: String,
    /// The service.
    pub service: ServiceId,
    /// The path at the minion.
    pub path: String,
}

/// What to do.
#[derive(Debug, Clone)]
pub enum Command {
    /// Adds or replaces resources.
    Apply {
        change: ChangeOptions,
        file: PathBuf,
    },
    /// Lists resources or jobs.
    Get {
        selector: Selector,
        subject: Subject,
    },
    /// Changes a group in one step.
    Set {
        change: ChangeOptions,
        selector: Selector,
        subject: Subject,
        assignment: String,
    },
    /// Removes a resource.
    Delete {
        change: ChangeOptions,
        kind: ResourceKind,
        name: String,
    },
    /// Submits a job.
    Submit { file: PathBuf },
    /// Tells where a job stands.
    Job { job: JobKey },
    /// Waits for a job's end.
    Wait { timeout_ms: u64, job: JobKey },
    /// Asks for a job's end.
    Cancel { job: JobKey },
    /// Explains where a job stands.
    Explain { job: NamedJob },
    /// Sends a request.
    Call(Box<CallOptions>),
    /// Tells a daemon's status.
    Status,
}

/// The whole command line.
#[derive(Debug, Clone)]
pub struct Options {
    /// Daemons, tried in turn until one can be reached.
    pub servers: Vec<SocketAddr>,
    /// How answers are printed.
    pub output: Output,
    /// What to do.
    pub command: Command,
}

/// Width of help and messages, in characters.
const WIDTH: usize = 100;

/// Reads the command line of this process.
///
/// # Errors
///
/// Returns the exit code after help, version or a mistake was printed.
pub fn options() -> Result<Options, ExitCode> {
    let read = parser()
        .fallback_to_usage()
        .run_inner(bpaf::Args::current_args());
    read.map_err(|failure| {
        let shown = matches!(failure, ParseFailure::Stdout(..));
        failure.print_message(WIDTH);
        if shown {
            ExitCode::SUCCESS
        } else {
            ExitCode::from(exit::USAGE)
        }
    })
}

fn servers() -> impl Parser<Vec<SocketAddr>> {
    long("server")
        .env("STAIRSTALL_SERVER")
        .help("Daemons as IP:PORT, separated by commas; the first that can be reached is asked")
        .argument::<String>("ADDRESSES")
        .parse(|text| {
            let parse = |part: &str| {
                part.trim()
                    .parse()
                    .map_err(|_| format!("{part:?} is not IP:PORT"))
            };
            text.split(',')
                .map(parse)
                .collect::<Result<Vec<SocketAddr>, String>>()
        })
}

fn output() -> impl Parser<Output> {
    long("output")
        .env("STAIRSTALL_OUTPUT")
        .help("human or json")
        .argument::<Output>("FORM")
        .fallback(Output::Human)
}

fn change_options() -> impl Parser<ChangeOptions> {
    let dry_run = long("dry-run")
        .env("STAIRSTALL_DRY_RUN")
        .help("Only say what the change would do")
        .switch();
    let base = long("base")
        .env("STAIRSTALL_BASE")
        .help("Refuse unless the configuration is at this revision")
        .argument::<u64>("REVISION")
        .map(Revision)
        .optional();
    let id = long("change-id")
        .env("STAIRSTALL_CHANGE_ID")
        .help("Name of the change; sent again it takes effect once")
        .argument::<ChangeId>("ID")
        .optional();
    construct!(ChangeOptions { dry_run, base, id })
}

fn selector() -> impl Parser<Selector> {
    long("selector")
        .env("STAIRSTALL_SELECTOR")
        .help("Conditions over labels, as in 'team=web,class in (batch,paid)'")
        .argument::<Selector>("SELECTOR")
}

fn job() -> impl Parser<JobKey> {
    positional::<JobKey>("CUSTOMER/JOB").help("The job")
}

fn apply() -> impl Parser<Command> {
    let change = change_options();
    let file = positional::<PathBuf>("FILE").help("JSON: a resource or a list of them");
    construct!(Command::Apply { change, file })
        .to_options()
        .descr("Add or replace resources, all or none")
        .command("apply")
}

fn get() -> impl Parser<Command> {
    let selector = selector().fallback(Selector::default());
    let subject = positional::<Subject>("KIND")
        .help("customers, priority-classes, guarantees, rules, services or jobs");
    construct!(Command::Get { selector, subject })
        .to_options()
        .descr("List resources or jobs")
        .command("get")
}

fn set() -> impl Parser<Command> {
    let change = change_options();
    let selector = selector();
    let subject = positional::<Subject>("KIND").help("What to change");
    let assignment = positional::<String>("FIELD=VALUE").help("The field and its new value");
    construct!(Command::Set {
        change,
        selector,
        subject,
        assignment
    })
    .to_options()
    .descr("Change a field of a whole group in one step")
    .command("set")
}

fn delete() -> impl Parser<Command> {
    let change = change_options();
    let kind = positional::<ResourceKind>("KIND").help("Kind of resource");
    let name = positional::<String>("NAME").help("Its name");
    construct!(Command::Delete { change, kind, name })
        .to_options()
        .descr("Remove a resource")
        .command("delete")
}

fn submit() -> impl Parser<Command> {
    let file = positional::<PathBuf>("FILE").help("JSON: the job");
    construct!(Command::Submit { file })
        .to_options()
        .descr("Submit a job")
        .command("submit")
}

fn about_job(
    name: &'static str,
    help: &'static str,
    make: fn(JobKey) -> Command,
) -> impl Parser<Command> {
    job().map(make).to_options().descr(help).command(name)
}

fn explain() -> impl Parser<Command> {
    let job = positional::<NamedJob>("JOB").help(
        "CUSTOMER/ID, or ID in the batch mode, whose daemons explain on their metrics address",
    );
    construct!(Command::Explain { job })
        .to_options()
        .descr("Explain where a job stands")
        .command("explain")
}

fn wait() -> impl Parser<Command> {
    let timeout_ms = long("timeout-ms")
        .env("STAIRSTALL_TIMEOUT_MS")
        .help("Longest wait")
        .argument::<u64>("MILLISECONDS")
        .fallback(600_000);
    let job = job();
    construct!(Command::Wait { timeout_ms, job })
        .to_options()
        .descr("Wait for a job's end and print its result")
        .command("wait")
}

fn call() -> impl Parser<Command> {
    let customer = long("customer")
        .env("STAIRSTALL_CUSTOMER")
        .help("The customer")
        .argument::<CustomerId>("NAME");
    let class = long("class")
        .env("STAIRSTALL_CLASS")
        .help("The priority class")
        .argument::<ClassId>("NAME");
    let id = long("id")
        .env("STAIRSTALL_ID")
        .help("Name of the request; the same when it is tried again")
        .argument::<RequestId>("ID")
        .optional();
    let labels = long("labels")
        .env("STAIRSTALL_LABELS")
        .help("name=value,…")
        .argument::<Labels>("LABELS")
        .optional();
    let deadline_ms = long("deadline-ms")
        .env("STAIRSTALL_DEADLINE_MS")
        .help("Longest wait")
        .argument::<u64>("MILLISECONDS")
        .optional();
    let not_repeatable = long("not-repeatable")
        .env("STAIRSTALL_NOT_REPEATABLE")
        .help("It must not run twice")
        .switch();
    let data = long("data")
        .env("STAIRSTALL_DATA")
        .help("The body")
        .argument::<String>("TEXT")
        .fallback(String::new());
    let service = positional::<ServiceId>("SERVICE").help("The service");
    let path = positional::<String>("PATH").help("The path at the minion");
    construct!(CallOptions {
        customer,
        class,
        id,
        labels,
        deadline_ms,
        not_repeatable,
        data,
        service,
        path,
    })
    .map(|options| Command::Call(Box::new(options)))
    .to_options()
    .descr("Send a request to a service")
    .command("call")
}

fn status() -> impl Parser<Command> {
    bpaf::pure(Command::Status)
        .to_options()
        .descr("Tell a daemon's status")
        .command("status")
}

fn parser() -> OptionParser<Options> {
    let servers = servers();
    let output = output();
    let (apply, get, set, delete, submit) = (apply(), get(), set(), delete(), submit());
    let job = about_job("job", "Tell where a job stands", |job| Command::Job { job });
    let cancel = about_job("cancel", "Ask for a job's end", |job| Command::Cancel {
        job,
    });
    let explain = explain();
    let (wait, call, status) = (wait(), call(), status());
    let command = construct!([
        apply, get, set, delete, submit, job, wait, cancel, explain, call, status
    ]);
    construct!(Options { servers, output, command })
        .to_options()
        .descr("Operate stairstall, submit jobs and send requests")
        .version(env!("CARGO_PKG_VERSION"))
        .footer("Exit codes: 0 done, 1 trouble on this side, 2 not allowed, 3 not run, 4 conflict, 5 may have run, 6 not found, 7 a job failed")
}

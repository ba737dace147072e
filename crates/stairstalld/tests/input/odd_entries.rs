//! Odd entries that another writer leaves in the worker directory, beside good entries and in the
//! place of one.

use std::fmt::Write;
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::cluster::{Cluster, Daemon, PATIENCE, job};

/// Limits how many clusters run at once, over all tests here. They wait most of the time.
static CLUSTERS: Semaphore = Semaphore::const_new(6);
/// Accelerators of one worker of the stand-in; each task takes one.
const WORKER_TASKS: u32 = 8;
/// How long the work takes that runs while the entries change.
const LONG_WORK: &str = "ms=2500";
const SHORT_WORK: &str = "ms=100";
/// How deeply the nested values are nested.
const DEPTH: usize = 20_000;
/// Size of the enormous value, just below the store's limit of 1 MB.
const ENORMOUS_BYTES: usize = 1_000_000;
const MANY_LABELS: usize = 5_000;
/// How long nothing may happen until it counts as not happening.
const QUIET: Duration = Duration::from_millis(700);

/// A value of the directory that no worker should write.
#[derive(Debug, Clone)]
struct OddEntry {
    kind: String,
    value: Vec<u8>,
    /// Whether it can be read as an entry of a worker that may get work.
    is_usable: bool,
}

fn unusable(kind: &str, value: impl Into<Vec<u8>>) -> OddEntry {
    OddEntry {
        kind: kind.to_owned(),
        value: value.into(),
        is_usable: false,
    }
}

fn usable(kind: &str, value: impl Into<Vec<u8>>) -> OddEntry {
    OddEntry {
        is_usable: true,
        ..unusable(kind, value)
    }
}

/// Replaces the value of a field by any JSON text.
fn with_field(base: &Value, field: &str, text: &str) -> Vec<u8> {
    const MARK: &str = "the odd value";
    let mut entry = base.clone();
    entry[field] = json!(MARK);
    entry
        .to_string()
        .replace(&format!("\"{MARK}\""), text)
        .into_bytes()
}

fn nested(open: &str, middle: &str, close: &str) -> String {
    format!("{}{middle}{}", open.repeat(DEPTH), close.repeat(DEPTH))
}

/// Returns values with an odd capacity.
fn odd_capacities(base: &Value) -> Vec<OddEntry> {
    let capacity = |gpu: &str| {
        let text = format!("{{\"cpu\":32000,\"memMb\":64000,\"gpu\":{gpu}}}");
        with_field(base, "capacity", &text)
    };
    let mut entries: Vec<OddEntry> = ["4294967296", "18446744073709551616", "1e999", "-1", "1.5"]
        .iter()
        .map(|gpu| unusable(&format!("capacity {gpu}"), capacity(gpu)))
        .collect();
    entries.push(usable("capacity 4294967295", capacity("4294967295")));
    let all = "{\"cpu\":4294967295,\"memMb\":4294967295,\"gpu\":4294967295}";
    let all = with_field(base, "capacity", all);
    entries.push(usable("every capacity 4294967295", all));
    entries.push(unusable(
        "capacity 0",
        with_field(base, "capacity", "{\"cpu\":0,\"memMb\":0,\"gpu\":0}"),
    ));
    entries
}

/// Returns values with an odd address.
fn odd_addresses(base: &Value) -> Vec<OddEntry> {
    let odd = [
        "127.0.0.1:65536",
        "127.0.0.1:99999999",
        "127.0.0.1",
        "localhost:80",
        "worker.example:80",
        "",
        ":80",
        "127.0.0.1:0",
        "[::1]:0",
        "[::1]:9",
        "[fe80::1%eth0]:80",
        "0.0.0.0:0",
        "255.255.255.255:9",
    ];
    odd.iter()
        .map(|address| {
            let text = json!(address).to_string();
            let kind = format!("address {address}");
            unusable(&kind, with_field(base, "address", &text))
        })
        .collect()
}

/// Returns values that no entry has at all, or that are larger or deeper than any.
fn odd_forms(base: &Value) -> Vec<OddEntry> {
    let good = base.to_string();
    let unclosed = &good[..good.len() - 1];
    let enormous = json!("x".repeat(ENORMOUS_BYTES - good.len() - 100)).to_string();
    let mut labels = String::from("[\"a\"");
    for number in 0..MANY_LABELS {
        write!(labels, ",\"label-{number}\"").expect("a string");
    }
    labels.push(']');
    vec![
        unusable("empty", ""),
        unusable("null", "null"),
        unusable("an array", "[]"),
        unusable("a number", "1e999"),
        unusable("not UTF-8", [0xff, 0xfe, 0x00, 0xc3, 0x28]),
        unusable("a name that is not UTF-8", {
            let mut value = with_field(base, "service", "\"?\"");
            let at = value.iter().position(|byte| *byte == b'?');
            value[at.expect("a mark")] = 0xff;
            value
        }),
        unusable("nested arrays", nested("[", "1", "]")),
        unusable("nested objects", nested("{\"a\":", "1", "}")),
        unusable("nested arrays without an end", "[".repeat(DEPTH)),
        unusable(
            "a nested capacity",
            with_field(base, "capacity", &nested("[", "", "]")),
        ),
        unusable(
            "nested labels",
            with_field(base, "labels", &nested("[", "", "]")),
        ),
        usable(
            "a nested field that no one reads",
            with_field(base, "odd", &nested("[", "", "]")),
        ),
        unusable("enormous text", "x".repeat(ENORMOUS_BYTES)),
        usable("an enormous field", with_field(base, "odd", &enormous)),
        unusable(
            "an enormous service",
            with_field(base, "service", &enormous),
        ),
        usable("an enormous label", {
            let labels = format!("[\"a\",{enormous}]");
            with_field(base, "labels", &labels)
        }),
        usable("thousands of labels", with_field(base, "labels", &labels)),
        unusable(
            "a field twice",
            format!("{unclosed},\"service\":\"desk\"}}"),
        ),
        unusable(
            "the address twice",
            format!("{unclosed},\"address\":\"127.0.0.1:9\"}}"),
        ),
    ]
}

/// Returns values with an odd state, an odd time or an odd start of the worker's life.
fn odd_times(base: &Value) -> Vec<OddEntry> {
    let mut draining = base.clone();
    draining["state"] = json!("draining");
    let left = |text: &str| with_field(&draining, "remainingMs", text);
    vec![
        unusable(
            "an unknown state",
            with_field(base, "state", "\"sleeping\""),
        ),
        unusable(
            "a state in capitals",
            with_field(base, "state", "\"READY\""),
        ),
        unusable("leaves in 1e300 ms", left("1e300")),
        unusable("leaves in 1e999 ms", left("1e999")),
        unusable("leaves in 2^64 ms", left("18446744073709551616")),
        usable(
            "ready, and leaves in 1e300 ms",
            with_field(base, "remainingMs", "1e300"),
        ),
        usable(
            "ready, and leaves in -1e300 ms",
            with_field(base, "remainingMs", "-1e300"),
        ),
        unusable("born 1e300", with_field(base, "born", "1e300")),
        unusable(
            "born 2^64",
            with_field(base, "born", "18446744073709551616"),
        ),
        unusable("born -1", with_field(base, "born", "-1")),
        // Written by a life that is over, as far as anyone can tell: it changes nothing.
        usable("born 0", with_field(base, "born", "0")),
        unusable(
            "born 2^64 - 1",
            with_field(base, "born", "18446744073709551615"),
        ),
    ]
}

fn all_kinds(base: &Value) -> Vec<OddEntry> {
    let mut kinds = odd_capacities(base);
    kinds.extend(odd_addresses(base));
    kinds.extend(odd_forms(base));
    kinds.extend(odd_times(base));
    kinds
}

/// An entry at an address where nobody listens.
fn nobody() -> Value {
    json!({"service": "desk", "address": "127.0.0.1:9", "zone": "zone-a", "version": "v1",
        "slots": 8, "state": "ready", "coldLeftMs": 0,
        "capacity": {"cpu": 32_000, "memMb": 64_000, "gpu": 8}, "labels": ["a", "r1-9"], "seq": 1})
}

fn entry_of(cluster: &Cluster, key: &str) -> Value {
    let bytes = cluster.store.get_bytes(key).expect("an entry");
    serde_json::from_slice(&bytes).expect("a good entry")
}

/// Waits until a condition holds; says what did not come true.
async fn wait_until(what: &str, holds: impl Fn() -> bool) -> Result<(), String> {
    let until = Instant::now() + PATIENCE / 2;
    while !holds() {
        if Instant::now() > until {
            return Err(format!("waited in vain: {what}"));
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}

/// Returns an error if a daemon has ended, or its planner does not hear of changes of the directory.
async fn check_follows(cluster: &mut Cluster, daemon: usize) -> Result<(), String> {
    let probe = format!("probe-{}", cluster.new_id());
    cluster.store.put(&format!("servers/{probe}"), &json!({}));
    let heard = format!("worker={probe}");
    let followed = wait_until("the planner hears of a change of the directory", || {
        !cluster.daemons[daemon].log_lines(&heard).is_empty()
    });
    let followed = followed.await;
    cluster.store.remove(&format!("servers/{probe}"));
    if cluster.daemons[daemon].has_ended() {
        return Err("the daemon has ended".to_owned());
    }
    followed
}

/// Submits a job and returns its path.
async fn submit(
    cluster: &mut Cluster,
    daemon: usize,
    tasks: u32,
    payload: &str,
) -> Result<String, String> {
    let path = format!("/q2/{}", cluster.new_id());
    let until = Instant::now() + PATIENCE / 2;
    loop {
        let status = cluster.submit(daemon, &path, &job(tasks, payload)).await;
        if status == Some(StatusCode::OK) {
            return Ok(path);
        }
        if Instant::now() > until {
            return Err(format!("a job is not taken: {status:?}"));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

fn id_of(path: &str) -> &str {
    path.rsplit('/').next().unwrap_or(path)
}

/// Returns an error if a job does not complete.
async fn wait_until_completed(cluster: &Cluster, daemon: usize, path: &str) -> Result<(), String> {
    let until = Instant::now() + PATIENCE / 2;
    loop {
        let answer = cluster.call(daemon, Method::GET, path, &Value::Null).await;
        let state = answer
            .and_then(|answer| answer.read::<Value>().ok())
            .map(|body| body["state"].clone());
        if state == Some(json!("completed")) {
            return Ok(());
        }
        if Instant::now() > until {
            return Err(format!("{path} is {state:?} instead of completed"));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns an error if a job does not complete, or any of its tasks began more than once.
async fn check_runs_once(
    cluster: &Cluster,
    daemon: usize,
    path: &str,
    tasks: u32,
) -> Result<(), String> {
    wait_until_completed(cluster, daemon, path).await?;
    let runs = cluster.runs_of(id_of(path));
    if runs != tasks as usize {
        let history = cluster.workers.history_of(id_of(path)).join("\n  ");
        return Err(format!("{tasks} tasks began {runs} times:\n  {history}"));
    }
    Ok(())
}

/// Returns an error if a worker of the stand-in saw a promise broken.
fn check_promises(cluster: &Cluster) -> Result<(), String> {
    let violations = cluster.workers.violations();
    if violations.is_empty() {
        return Ok(());
    }
    Err(format!("promises were broken: {violations:?}"))
}

fn works_at(cluster: &Cluster, path: &str, worker: &str) -> bool {
    let records = cluster.workers.records();
    let mut of_job = records
        .iter()
        .filter(|run| run.task.starts_with(id_of(path)));
    of_job.any(|run| run.worker == worker)
}

/// The key of the worker whose entry is overwritten.
const PLACE: &str = "servers/i-0";
/// The worker that it lists.
const WORKER: &str = "i-0";

/// Makes the kinds of odd entries from a good one.
type Family = fn(&Value) -> Vec<OddEntry>;

/// What happens to an odd entry in the place of a good one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Afterwards {
    ComesBack,
    StaysAway,
}

/// Leaves an odd entry under a key of its own while the planner runs.
async fn play_beside(key: String, value: Vec<u8>) -> Result<(), String> {
    let mut cluster = Cluster::start(1, 2).await;
    let running = submit(&mut cluster, 0, WORKER_TASKS, LONG_WORK).await?;
    cluster.store.put_bytes(&key, &value);
    check_follows(&mut cluster, 0).await?;
    let next = submit(&mut cluster, 0, WORKER_TASKS, SHORT_WORK).await?;
    check_runs_once(&cluster, 0, &next, WORKER_TASKS).await?;
    check_runs_once(&cluster, 0, &running, WORKER_TASKS).await?;
    check_follows(&mut cluster, 0).await?;
    check_promises(&cluster)
}

/// Starts a planner on a directory with an odd entry under a key of its own.
async fn play_start_beside(key: String, value: Vec<u8>) -> Result<(), String> {
    let mut cluster = Cluster::start(0, 2).await;
    cluster.store.put_bytes(&key, &value);
    let daemon = Daemon::start("vm-0", &cluster.store).await;
    cluster.daemons.push(daemon);
    check_follows(&mut cluster, 0).await?;
    let path = submit(&mut cluster, 0, 2 * WORKER_TASKS, SHORT_WORK).await?;
    check_runs_once(&cluster, 0, &path, 2 * WORKER_TASKS).await?;
    check_promises(&cluster)
}

/// Overwrites the entry of a worker that runs tasks; later the good entry comes back, or not.
async fn play_in_place(
    make: impl FnOnce(&Cluster) -> OddEntry + Send,
    then: Afterwards,
) -> Result<(), String> {
    let mut cluster = Cluster::start(1, 2).await;
    let good = entry_of(&cluster, PLACE);
    let odd = make(&cluster);
    let tasks = 2 * WORKER_TASKS - 2;
    let running = submit(&mut cluster, 0, tasks, LONG_WORK).await?;
    let all_run = || cluster.runs_of(id_of(&running)) == tasks as usize;
    wait_until("all tasks run", all_run).await?;
    cluster.store.put_bytes(PLACE, &odd.value);
    check_follows(&mut cluster, 0).await?;
    // More than the other worker can take beside its runs.
    let meanwhile = submit(&mut cluster, 0, WORKER_TASKS, SHORT_WORK).await?;
    tokio::time::sleep(QUIET).await;
    check_gets_no_work(&cluster, &meanwhile, &odd)?;
    if then == Afterwards::ComesBack {
        cluster.store.put(PLACE, &good);
    }
    check_runs_once(&cluster, 0, &running, tasks).await?;
    check_runs_once(&cluster, 0, &meanwhile, WORKER_TASKS).await?;
    match then {
        Afterwards::ComesBack => check_gets_work_again(&mut cluster).await?,
        Afterwards::StaysAway => {
            let last = submit(&mut cluster, 0, 2 * WORKER_TASKS, SHORT_WORK).await?;
            check_runs_once(&cluster, 0, &last, 2 * WORKER_TASKS).await?;
            check_gets_no_work(&cluster, &last, &odd)?;
            check_gets_no_work(&cluster, &meanwhile, &odd)?;
        }
    }
    check_follows(&mut cluster, 0).await?;
    check_promises(&cluster)
}

/// Returns a kind of a family, made from the entry in whose place it stands.
fn of_family(make: Family, index: usize) -> impl FnOnce(&Cluster) -> OddEntry + Send {
    move |cluster| make(&entry_of(cluster, PLACE)).swap_remove(index)
}

/// Starts a planner on a directory with an odd entry in the place of a good one, which comes back.
async fn play_start_in_place(make: Family, index: usize) -> Result<(), String> {
    let mut cluster = Cluster::start(0, 2).await;
    let good = entry_of(&cluster, PLACE);
    let odd = make(&good).swap_remove(index);
    cluster.store.put_bytes(PLACE, &odd.value);
    let daemon = Daemon::start("vm-0", &cluster.store).await;
    cluster.daemons.push(daemon);
    check_follows(&mut cluster, 0).await?;
    let first = submit(&mut cluster, 0, 2 * WORKER_TASKS, SHORT_WORK).await?;
    check_runs_once(&cluster, 0, &first, 2 * WORKER_TASKS).await?;
    check_gets_no_work(&cluster, &first, &odd)?;
    cluster.store.put(PLACE, &good);
    check_gets_work_again(&mut cluster).await?;
    check_follows(&mut cluster, 0).await?;
    check_promises(&cluster)
}

fn check_gets_no_work(cluster: &Cluster, path: &str, odd: &OddEntry) -> Result<(), String> {
    if works_at(cluster, path, WORKER) && !odd.is_usable {
        return Err("work was sent to it".to_owned());
    }
    Ok(())
}

/// Submits jobs until the worker gets work, which may take it an answer first.
async fn check_gets_work_again(cluster: &mut Cluster) -> Result<(), String> {
    let until = Instant::now() + PATIENCE / 4;
    loop {
        let path = submit(cluster, 0, 2 * WORKER_TASKS, SHORT_WORK).await?;
        check_runs_once(cluster, 0, &path, 2 * WORKER_TASKS).await?;
        if works_at(cluster, &path, WORKER) {
            return Ok(());
        }
        if Instant::now() > until {
            return Err("it gets no work though its good entry is back".to_owned());
        }
    }
}

/// Plays all kinds of a family, each with a cluster of its own, and names those that went wrong.
async fn play_all<F>(make: Family, play: impl Fn(usize, OddEntry) -> F)
where
    F: Future<Output = Result<(), String>> + Send + 'static,
{
    let kinds = make(&nobody());
    let plays = kinds.into_iter().enumerate().map(|(index, odd)| {
        let kind = odd.kind.clone();
        (kind, play(index, odd))
    });
    check_all(plays.collect()).await;
}

async fn check_all<F>(plays: Vec<(String, F)>)
where
    F: Future<Output = Result<(), String>> + Send + 'static,
{
    let mut running = JoinSet::new();
    for (kind, play) in plays {
        running.spawn(async move {
            let _permit = CLUSTERS.acquire().await;
            play.await.map_err(|why| format!("{kind}: {why}"))
        });
    }
    let results = running.join_all().await;
    let wrong: Vec<String> = results.into_iter().filter_map(Result::err).collect();
    assert!(
        wrong.is_empty(),
        "{} went wrong:\n{}",
        wrong.len(),
        wrong.join("\n")
    );
}

const ODD_KEY: &str = "servers/odd";

/// Guards against an odd entry beside good ones that ends a planner or keeps it from following.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_entry_beside_good_ones_stops_nothing() {
    play_all(all_kinds, |_, odd| {
        play_beside(ODD_KEY.to_owned(), odd.value)
    })
    .await;
}

/// Guards against an odd entry beside good ones on which no planner starts.
#[tokio::test(flavor = "multi_thread")]
async fn a_planner_starts_beside_an_odd_entry() {
    let play = |_, odd: OddEntry| play_start_beside(ODD_KEY.to_owned(), odd.value);
    play_all(all_kinds, play).await;
}

/// Guards against a key that is no ID and ends a planner or keeps it from following.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_is_no_id_stops_nothing() {
    let keys = [
        "servers/".to_owned(),
        format!("servers/{}", "k".repeat(192)),
        "servers/a/b/c".to_owned(),
        "servers//".to_owned(),
        "servers/../i-0".to_owned(),
        "servers/né-名".to_owned(),
        "servers/a b&c=d%zz+#?".to_owned(),
        "servers/\u{0}\n".to_owned(),
    ];
    let value = || nobody().to_string().into_bytes();
    let running = keys.clone().map(|key| {
        let play: futures::future::BoxFuture<'static, _> =
            Box::pin(play_beside(key.clone(), value()));
        (format!("{key:?}"), play)
    });
    let at_start = keys.map(|key| {
        let play: futures::future::BoxFuture<'static, _> =
            Box::pin(play_start_beside(key.clone(), value()));
        (format!("{key:?} at start"), play)
    });
    check_all(running.into_iter().chain(at_start).collect()).await;
}

/// Guards against runs that are lost or begun twice, and work that is sent there, when an odd
/// capacity stands in the place of a good one for a while.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_capacity_of_a_busy_worker_loses_no_run() {
    let play = |index, _| play_in_place(of_family(odd_capacities, index), Afterwards::ComesBack);
    play_all(odd_capacities, play).await;
}

/// The same with an odd address.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_address_of_a_busy_worker_loses_no_run() {
    let play = |index, _| play_in_place(of_family(odd_addresses, index), Afterwards::ComesBack);
    play_all(odd_addresses, play).await;
}

/// The same with values that no entry has.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_form_of_a_busy_workers_entry_loses_no_run() {
    let play = |index, _| play_in_place(of_family(odd_forms, index), Afterwards::ComesBack);
    play_all(odd_forms, play).await;
}

/// The same with odd times and states.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_time_of_a_busy_worker_loses_no_run() {
    let play = |index, _| play_in_place(of_family(odd_times, index), Afterwards::ComesBack);
    play_all(odd_times, play).await;
}

/// The same where the good entry stays away: the runs end well, and nothing new is sent there.
#[tokio::test(flavor = "multi_thread")]
async fn a_busy_worker_whose_entry_stays_odd_finishes_its_runs() {
    let play = |index, _| play_in_place(of_family(all_kinds, index), Afterwards::StaysAway);
    play_all(all_kinds, play).await;
}

/// Guards against a planner that does not start on an odd entry in the place of a good one, or does
/// not use the worker once its good entry is back.
#[tokio::test(flavor = "multi_thread")]
async fn a_planner_starts_on_an_odd_entry_in_the_place_of_a_good_one() {
    let play = |index, _| play_start_in_place(all_kinds, index);
    play_all(all_kinds, play).await;
}

/// Returns addresses at which other programs than the worker listen.
fn addresses_of_others(cluster: &Cluster) -> Vec<(&'static str, String)> {
    let other = &entry_of(cluster, "servers/i-1")["address"];
    let planner = &cluster.daemons[0];
    vec![
        ("another worker", other.as_str().expect("text").to_owned()),
        ("the store", cluster.store.address().to_string()),
        ("a daemon for callers", planner.address.to_string()),
        ("a daemon's health", planner.health.to_string()),
    ]
}

/// How many of them there are.
const OTHERS: usize = 4;

/// Makes an entry with the address of another program.
fn at_other(index: usize, base: &'static str) -> impl FnOnce(&Cluster) -> OddEntry + Send {
    move |cluster| {
        let (kind, address) = addresses_of_others(cluster).swap_remove(index);
        let mut entry = entry_of(cluster, base);
        entry["address"] = json!(address);
        unusable(kind, entry.to_string())
    }
}

/// Guards against runs that are lost or begun twice when a busy worker's entry gets the address of
/// another program, which answers in another way than the worker does.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_with_the_address_of_another_program_loses_no_run() {
    let plays = (0..OTHERS).flat_map(|index| {
        [Afterwards::ComesBack, Afterwards::StaysAway].map(|then| {
            let kind = format!("other program {index}, {then:?}");
            (kind, play_in_place(at_other(index, PLACE), then))
        })
    });
    check_all(plays.collect()).await;
}

/// Lists another ID at the address of a worker that runs tasks, or of another program.
async fn play_at_used_address(index: usize) -> Result<(), String> {
    let mut cluster = Cluster::start(1, 2).await;
    let tasks = 2 * WORKER_TASKS - 2;
    let running = submit(&mut cluster, 0, tasks, LONG_WORK).await?;
    let all_run = || cluster.runs_of(id_of(&running)) == tasks as usize;
    wait_until("all tasks run", all_run).await?;
    let odd = at_other(index, PLACE)(&cluster);
    cluster.store.put_bytes(ODD_KEY, &odd.value);
    check_follows(&mut cluster, 0).await?;
    let next = submit(&mut cluster, 0, WORKER_TASKS, SHORT_WORK).await?;
    check_runs_once(&cluster, 0, &running, tasks).await?;
    check_runs_once(&cluster, 0, &next, WORKER_TASKS).await?;
    cluster.store.remove(ODD_KEY);
    check_follows(&mut cluster, 0).await?;
    let last = submit(&mut cluster, 0, 2 * WORKER_TASKS, SHORT_WORK).await?;
    check_runs_once(&cluster, 0, &last, 2 * WORKER_TASKS).await?;
    check_promises(&cluster)
}

/// Guards against runs that are lost or begun twice when another ID is listed at the address of a
/// busy worker.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_at_a_used_address_loses_no_run() {
    let plays = (0..OTHERS).map(|index| {
        let kind = format!("other program {index}");
        (kind, play_at_used_address(index))
    });
    check_all(plays.collect()).await;
}

/// How long the work takes that is nearly done when its worker says that it leaves.
const NEARLY_DONE_WORK: &str = "ms=8000";
const UNTIL_NEARLY_DONE: Duration = Duration::from_millis(7_600);

/// Guards against a sum of times that is too large, where a worker whose runs are nearly done is
/// said to leave in a very long time.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_leaves_in_a_very_long_time_finishes_its_runs() {
    let mut cluster = Cluster::start(1, 1).await;
    let path = submit(&mut cluster, 0, WORKER_TASKS, NEARLY_DONE_WORK)
        .await
        .expect("taken");
    let all_run = || cluster.runs_of(id_of(&path)) == WORKER_TASKS as usize;
    wait_until("all tasks run", all_run).await.expect("runs");
    tokio::time::sleep(UNTIL_NEARLY_DONE).await;
    let mut leaving = entry_of(&cluster, PLACE);
    leaving["state"] = json!("draining");
    let leaving = with_field(&leaving, "remainingMs", "1e300");
    cluster.store.put_bytes(PLACE, &leaving);
    check_follows(&mut cluster, 0).await.expect("it follows");
    let done = check_runs_once(&cluster, 0, &path, WORKER_TASKS).await;
    done.expect("its runs go on");
    cluster.assert_no_violations();
}

/// Returns the kinds that a successor may read in another way than the planner before it: those that
/// differ in what they say of the worker, and some that can't be read.
fn kinds_for_successors(base: &Value) -> Vec<OddEntry> {
    let mut kinds = odd_capacities(base);
    kinds.extend(odd_times(base));
    kinds
}

/// Ends the planner while an odd entry stands in the place of a busy worker's. Its successor can't
/// know where the worker listens, so what runs there may begin again once its lease is over.
async fn play_takeover(index: usize) -> Result<(), String> {
    let mut cluster = Cluster::start(2, 2).await;
    let tasks = 2 * WORKER_TASKS - 2;
    let first = cluster.wait_for_planner().await;
    let running = submit(&mut cluster, first, tasks, LONG_WORK).await?;
    let all_run = || cluster.runs_of(id_of(&running)) == tasks as usize;
    wait_until("all tasks run", all_run).await?;
    let odd = of_family(kinds_for_successors, index)(&cluster);
    cluster.store.put_bytes(PLACE, &odd.value);
    cluster.daemons[first].kill().await;
    let successor = 1 - first;
    check_follows(&mut cluster, successor).await?;
    let next = submit(&mut cluster, successor, WORKER_TASKS, SHORT_WORK).await?;
    wait_until_completed(&cluster, successor, &running).await?;
    wait_until_completed(&cluster, successor, &next).await?;
    check_promises(&cluster)
}

/// Guards against a successor that ends, or runs work twice, on an odd entry in a busy worker's place.
#[tokio::test(flavor = "multi_thread")]
async fn a_successor_takes_over_with_an_odd_entry_in_a_busy_workers_place() {
    play_all(kinds_for_successors, |index, _| play_takeover(index)).await;
}

//! What others write: operators' keys, stored records, workers' answers, peers' calls, callers' bodies.
//! Odd ones are refused alone; daemons go on planning, following and serving.

use std::time::Duration;

use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use stairstall_core::claim::Mark;
use stairstall_http::JsonRequest;

use crate::cluster::{
    CALL_TIMEOUT, Cluster, Daemon, PATIENCE, configuration, configuration_with_q9, job,
};

/// Within what time of its acknowledgement a change of the configuration has to be in force.
const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// How long a job that must not run again is watched.
const WATCHED_FOR: Duration = Duration::from_secs(2);
/// Levels that overflow the stack of a reader without a limit.
const LEVELS: usize = 100_000;
/// Largest number of many formats.
const HUGE: f64 = 1e300;

/// Where a progress and a job are stored.
fn progress_key(id: &str) -> String {
    format!("stairstall/progress/{id}")
}

fn job_key(id: &str) -> String {
    format!("stairstall/job/{id}")
}

fn deep() -> Vec<u8> {
    let text = format!("{{\"a\":{}{}}}", "[".repeat(LEVELS), "]".repeat(LEVELS));
    text.into_bytes()
}

/// A compressed value that is a thousand times as long when it is inflated.
fn bomb() -> Vec<u8> {
    use std::io::Write;
    const INFLATED: usize = 256 << 20;
    let zeros = vec![b' '; 1 << 20];
    let mut encoder = flate2::write::ZlibEncoder::new(Vec::new(), flate2::Compression::best());
    for _ in 0..INFLATED / zeros.len() {
        encoder.write_all(&zeros).expect("a buffer");
    }
    encoder.finish().expect("a buffer")
}

/// Submits a job at each daemon, which has to be run.
async fn assert_works(cluster: &mut Cluster, queue: &str) {
    for daemon in 0..cluster.daemons.len() {
        assert!(!cluster.daemons[daemon].has_ended(), "daemon {daemon}");
        let path = format!("/{queue}/{}", cluster.new_id());
        let status = cluster.submit(daemon, &path, &job(1, "ms=10")).await;
        assert_eq!(status, Some(StatusCode::OK), "daemon {daemon}");
        cluster.wait_for(&path, "completed").await;
    }
    for daemon in &cluster.daemons {
        for text in [" ERROR panic ", "a background task has ended"] {
            assert_eq!(daemon.log_lines(text), [""; 0]);
        }
    }
}

/// Ends the daemon that plans, so that another one has to read everything stored.
async fn change_planner(cluster: &mut Cluster) {
    let planner = cluster.wait_for_planner().await;
    cluster.daemons[planner].kill().await;
    cluster.daemons.remove(planner);
    let name = format!("vm-next-{}", cluster.new_id());
    let next = Daemon::start(&name, &cluster.store).await;
    cluster.daemons.push(next);
    cluster.wait_until_planned().await;
}

/// Calls a daemon as a peer does; returns the answer, whatever it is.
async fn call_peer(cluster: &Cluster, daemon: usize, method: &str, params: Value) -> Value {
    let lines = cluster.daemons[daemon].log_lines(" serving");
    let rest = lines[0].split_once(" rpc=").expect("an address").1;
    let address = rest.split_whitespace().next().expect("an address");
    let body = json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": params});
    let call = JsonRequest {
        method: Method::POST,
        address,
        path: "/",
        headers: &[],
        body: body.to_string().into_bytes(),
    };
    let answer = cluster.http.exchange(call, CALL_TIMEOUT).await;
    answer.expect("an answer").read().unwrap_or_default()
}

fn mark() -> Value {
    let mark = Mark::new("vm-odd".parse().expect("an id"), 1, 1);
    serde_json::to_value(mark).expect("a value")
}

fn planner_record(token: u64) -> Value {
    json!({"vm": "vm-odd", "rpc": "127.0.0.1:1", "token": token, "mark": mark()})
}

/// A job as daemons store it and tell it each other.
fn accepted(id: &str, steps: &Value) -> Value {
    json!({"id": id, "customer": "mesa", "accepted_unix_ms": 1_800_000_000_000_u64, "mark": mark(),
        "queue": {"name": "q1", "service": "desk", "priority": 1, "attempts": 3, "stretch": 2.0,
            "target_ms": 500},
        "spec": {"payload": "ms=10", "steps": steps}})
}

fn accepted_step(count: u64, depends_on: &[u32]) -> Value {
    json!({"count": count, "estimate_ms": 10, "depends_on": depends_on,
        "needs": {"cpu_millis": 1000, "memory_mb": 10, "accelerators": 1}})
}

/// Guards against numbers of a route or a customer that are too large to be counted with, which ended
/// the planning of all jobs.
#[tokio::test(flavor = "multi_thread")]
async fn huge_numbers_of_the_configuration_do_not_end_planning() {
    let mut cluster = Cluster::start(2, 2).await;
    let mut next = configuration(2);
    for field in [
        "stretch",
        "timeoutMs",
        "targetLatencyMs",
        "attempts",
        "priority",
    ] {
        next["routes"][1][field] = json!(HUGE);
    }
    next["routes"][2]["stretch"] = json!(-HUGE);
    next["tenants"][0]["guaranteed"]["gpu"] = json!(HUGE);
    next["limits"]["maxBodyBytes"] = json!(HUGE);
    cluster.store.put("op/config", &next);
    tokio::time::sleep(CONFIG_APPLY).await;
    for queue in ["q1", "q2", "q0"] {
        assert_works(&mut cluster, queue).await;
    }
    change_planner(&mut cluster).await;
    assert_works(&mut cluster, "q1").await;
}

/// Guards against a version so high by mistake that no later one comes into force.
#[tokio::test(flavor = "multi_thread")]
async fn the_version_after_the_highest_one_is_in_force() {
    let mut cluster = Cluster::start(2, 1).await;
    cluster.store.put("op/config", &configuration(u64::MAX));
    tokio::time::sleep(CONFIG_APPLY).await;
    cluster.store.put("op/config", &configuration_with_q9(2));
    tokio::time::sleep(CONFIG_APPLY).await;
    assert_works(&mut cluster, "q9").await;
}

/// Guards against operators' keys of any form that keep daemons from following the later ones.
#[tokio::test(flavor = "multi_thread")]
async fn odd_keys_of_operators_do_not_hide_later_ones() {
    let mut cluster = Cluster::start(2, 1).await;
    let store = &cluster.store;
    for zone in ["", "a/b", "zone b", "..", "名", "\u{0}", &"z".repeat(2_000)] {
        store.put_bytes(&format!("op/evacuate/{zone}"), b"\xff");
    }
    store.put_bytes("op/unknown", &deep());
    store.put_bytes("op/config/sub", &deep());
    let wrong = [
        b"".to_vec(),
        b"null".to_vec(),
        b"\xff\xfe".to_vec(),
        deep(),
        json!({"version": -1}).to_string().into_bytes(),
        json!({"version": HUGE}).to_string().into_bytes(),
        json!({"version": 1.5, "routes": []})
            .to_string()
            .into_bytes(),
        json!([configuration(7)]).to_string().into_bytes(),
    ];
    for value in &wrong {
        store.put_bytes("op/config", value);
    }
    tokio::time::sleep(CONFIG_APPLY).await;
    assert_works(&mut cluster, "q1").await;
    cluster.store.put("op/config", &configuration_with_q9(2));
    tokio::time::sleep(CONFIG_APPLY).await;
    assert_works(&mut cluster, "q9").await;
    change_planner(&mut cluster).await;
    assert_works(&mut cluster, "q9").await;
}

/// Guards against a job that runs a second time because what it has done can't be read.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_whose_progress_cannot_be_read_does_not_start_again() {
    let mut cluster = Cluster::start(2, 2).await;
    let ids: Vec<String> = (0..4).map(|_| cluster.new_id()).collect();
    for id in &ids {
        let path = format!("/q1/{id}");
        let status = cluster.submit(0, &path, &job(1, "ms=10")).await;
        assert_eq!(status, Some(StatusCode::OK));
        cluster.wait_for(&path, "completed").await;
    }
    let spec = accepted("", &json!([accepted_step(1, &[])]))["spec"].clone();
    // The last one can be read, but does not say of the job's task whether it is done.
    let no_marks = json!({"begun": true, "occurrences": [[{"tasks": ""}]]});
    let values = [
        b"{\"begun\":7}".to_vec(),
        b"x\x9cgone".to_vec(),
        bomb(),
        no_marks.to_string().into_bytes(),
    ];
    for (id, value) in ids.iter().zip(values) {
        // Its record is as it was before it ended.
        let mut record = accepted(id, &json!([]));
        record["spec"] = spec.clone();
        cluster.store.put(&job_key(id), &record);
        cluster.store.put_bytes(&progress_key(id), &value);
    }
    change_planner(&mut cluster).await;
    cluster.store.forget_history();
    let (unreadable, unmarked) = ids.split_at(3);
    let mut statuses = Vec::new();
    for id in unreadable.iter().chain(unmarked) {
        let path = format!("/q1/{id}");
        for daemon in 0..cluster.daemons.len() {
            let answer = cluster.call(daemon, Method::GET, &path, &Value::Null).await;
            statuses.push((id, answer.expect("an answer").status));
        }
    }
    tokio::time::sleep(WATCHED_FOR).await;
    assert_works(&mut cluster, "q1").await;
    let runs: Vec<usize> = ids.iter().map(|id| cluster.runs_of(id)).collect();
    assert_eq!(runs, [1, 1, 1, 1]);
    for (id, status) in statuses {
        let is_told = status.is_server_error();
        assert!(is_told || unmarked.contains(id), "{id} is {status}");
    }
}

/// Submits a job of one task and waits until it runs; returns its ID and its stored progress.
async fn running_job(cluster: &mut Cluster, payload: &str) -> (String, Vec<u8>) {
    let id = cluster.new_id();
    let path = format!("/q1/{id}");
    let status = cluster.submit(0, &path, &job(1, payload)).await;
    assert_eq!(status, Some(StatusCode::OK));
    cluster.wait_for(&path, "running").await;
    let progress = cluster.store.get_bytes(&progress_key(&id));
    (
        id,
        progress.expect("a placement is stored before the start"),
    )
}

/// Returns how each run that was begun has ended.
fn ends_of_runs(cluster: &Cluster) -> Vec<Option<&'static str>> {
    let records = cluster.workers.records();
    records.iter().map(|run| run.how).collect()
}

/// Replaces a job's progress by one that can't be read, and the planner by one that knows no other.
async fn hold_back(cluster: &mut Cluster, id: &str) {
    let unreadable = b"x\x9cnewer form";
    cluster.store.put_bytes(&progress_key(id), unreadable);
    change_planner(cluster).await;
}

/// What a planner can't read, another version may have written. The work under way is not its to end.
#[tokio::test(flavor = "multi_thread")]
async fn work_of_a_job_whose_progress_cannot_be_read_goes_on() {
    let mut cluster = Cluster::start(2, 2).await;
    let (id, _) = running_job(&mut cluster, "ms=15000").await;
    hold_back(&mut cluster, &id).await;
    tokio::time::sleep(WATCHED_FOR).await;
    let history = cluster.workers.history_of(&id);
    let ends = ends_of_runs(&cluster);
    assert_eq!(ends, [None], "{history:?}");
}

/// A planner that holds a job back must leave the ends of its runs for one that can read the job.
#[tokio::test(flavor = "multi_thread")]
async fn what_ends_while_its_job_is_held_back_does_not_run_again() {
    let mut cluster = Cluster::start(2, 2).await;
    let (id, progress) = running_job(&mut cluster, "ms=800").await;
    hold_back(&mut cluster, &id).await;
    tokio::time::sleep(WATCHED_FOR * 2).await;
    let before = cluster.workers.history_of(&id);
    let ends = ends_of_runs(&cluster);
    assert_eq!(ends, [Some("done")], "{before:?}");
    cluster.store.put_bytes(&progress_key(&id), &progress);
    change_planner(&mut cluster).await;
    cluster.wait_for(&format!("/q1/{id}"), "completed").await;
    assert_eq!(
        cluster.runs_of(&id),
        1,
        "{:?}",
        cluster.workers.history_of(&id)
    );
}

/// Guards against one stored record of any form that keeps a planner from loading the others.
#[tokio::test(flavor = "multi_thread")]
async fn odd_records_do_not_keep_others_from_being_planned() {
    let mut cluster = Cluster::start(0, 2).await;
    let store = &cluster.store;
    let garbage = [
        b"".to_vec(),
        b"{".to_vec(),
        b"x\x9c".to_vec(),
        deep(),
        bomb(),
    ];
    for (index, value) in (0xa0_u64..).zip(&garbage) {
        let id = format!("{index:016x}");
        store.put_bytes(&job_key(&id), value);
        store.put_bytes(&format!("{}.cancel", job_key(&id)), value);
        store.put_bytes(&progress_key(&format!("{:016x}", index + 0x100)), value);
    }
    for key in [
        "stairstall/job/",
        "stairstall/job/a/b",
        "stairstall/progress/~~",
        "stairstall/learnt",
    ] {
        store.put_bytes(key, b"odd");
    }
    let steps = [
        json!([accepted_step(u64::from(u32::MAX), &[])]),
        json!([accepted_step(1, &[]), accepted_step(1, &[7])]),
        json!([accepted_step(1, &[0])]),
        json!([accepted_step(0, &[])]),
    ];
    for (index, steps) in (0xb0_u64..).zip(&steps) {
        let id = format!("{index:016x}");
        store.put(&job_key(&id), &accepted(&id, steps));
    }
    // Another job's record under this key.
    let other = accepted("00000000000000c1", &json!([accepted_step(1, &[])]));
    store.put(&job_key("00000000000000c0"), &other);
    let sound = "00000000000000d0";
    store.put(
        &job_key(sound),
        &accepted(sound, &json!([accepted_step(1, &[])])),
    );
    // Steps and tasks that the job does not have.
    let odd = "00000000000000d1";
    store.put(
        &job_key(odd),
        &accepted(odd, &json!([accepted_step(1, &[])])),
    );
    let group = json!({"tasks": "-----", "last_run": u32::MAX - 2, "many_failures": {"4000000000": 9},
        "counted_runs": {"4000000000": 1}, "checkpoints": {"4000000000": "c"},
        "places": {"4000000000": ["w-gone", 4_294_967_295_u32, u64::MAX, true]},
        "late_starts": {"4000000000": u64::MAX},
        "losses": {"0": {"crashes": 0, "silent": []}}});
    let groups: Vec<Value> = (0..50).map(|_| group.clone()).collect();
    store.put(
        &progress_key(odd),
        &json!({"begun": true, "occurrences": [groups, groups]}),
    );
    for number in 0..2 {
        let daemon = Daemon::start(&format!("vm-{number}"), &cluster.store).await;
        cluster.daemons.push(daemon);
    }
    cluster.wait_until_planned().await;
    assert_works(&mut cluster, "q1").await;
    cluster.wait_for(&format!("/q1/{sound}"), "completed").await;
    assert_eq!(cluster.runs_of("00000000000000c1"), 0);
}

/// Guards against a number of tenures that nobody can count on, which kept every daemon from planning.
#[tokio::test(flavor = "multi_thread")]
async fn any_count_of_tenures_lets_a_daemon_plan() {
    for count in [
        u64::MAX.to_string(),
        (1_u64 << 50).to_string(),
        "odd".to_owned(),
    ] {
        let mut cluster = Cluster::start(1, 1).await;
        assert_works(&mut cluster, "q1").await;
        cluster.daemons[0].kill().await;
        cluster.daemons.clear();
        cluster
            .store
            .put_bytes("stairstall/role/tenures", count.as_bytes());
        for number in 0..2 {
            let daemon = Daemon::start(&format!("vm-{number}"), &cluster.store).await;
            cluster.daemons.push(daemon);
        }
        cluster.wait_until_planned().await;
        assert_works(&mut cluster, "q1").await;
        change_planner(&mut cluster).await;
        assert_works(&mut cluster, "q1").await;
    }
}

/// Guards against a record under the role's key that names no planner and that no lease ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_role_record_of_no_planner_does_not_keep_daemons_from_planning() {
    for value in [
        b"odd".to_vec(),
        planner_record(u64::MAX).to_string().into_bytes(),
    ] {
        let mut cluster = Cluster::start(0, 1).await;
        cluster.store.put_bytes("stairstall/role/planner", &value);
        for number in 0..2 {
            let daemon = Daemon::start(&format!("vm-{number}"), &cluster.store).await;
            cluster.daemons.push(daemon);
        }
        cluster.wait_until_planned().await;
        assert_works(&mut cluster, "q1").await;
    }
}

/// Guards against rows about tasks of others, which made a worker count as unresponsive for good.
#[tokio::test(flavor = "multi_thread")]
async fn rows_of_a_report_about_no_task_of_ours_are_passed_over() {
    let mut cluster = Cluster::start(1, 1).await;
    let deep_row = serde_json::from_str::<Value>(&format!("{}{}", "[".repeat(60), "]".repeat(60)));
    let rows = json!([
        [],
        [7],
        ["other"],
        ["other", "x"],
        [null, 1],
        ["other.0.0.0", 4_294_967_296_u64],
        ["a.b", 1],
        [deep_row.expect("a value")],
        ["0.0.0.4294967296", 1]
    ]);
    let ends = json!([
        [],
        [1],
        ["x", "y", 3, "done"],
        [9, "other", 1, "done"],
        [9, null, 1, "odd"]
    ]);
    cluster
        .workers
        .add_to_reports(0, json!({"running": rows, "finished": ends}));
    assert_works(&mut cluster, "q1").await;
    assert_works(&mut cluster, "q1").await;
    cluster.assert_no_violations();
}

/// Guards against a worker's odd answers that end planning, or keep other workers from being used.
#[tokio::test(flavor = "multi_thread")]
async fn odd_answers_of_one_worker_do_not_stop_the_others() {
    let mut cluster = Cluster::start(1, 2).await;
    let id = cluster.new_id();
    let open = format!("/q1/{id}");
    // It waits, so that its runs can be reported.
    let waiting = json!({"spec": "ms=10", "steps": [{"count": 1, "cpu": 1_000_000, "memMb": 1, "gpu": 1,
        "estimateMs": 10}]});
    assert_eq!(
        cluster.submit(0, &open, &waiting).await,
        Some(StatusCode::OK)
    );
    let task = |step: u32, index: u32| format!("{id}.0.{step}.{index}");
    let answers = [
        json!({"clockMs": u64::MAX}),
        json!({"clockMs": u64::MAX - 1, "born": u64::MAX}),
        json!({"clockMs": 0}),
        json!({"clockMs": HUGE}),
        json!({"running": [[task(0, 0), u32::MAX, "", 1e30]]}),
        json!({"running": [[task(4_000_000_000, 0), 1, "", -1e30], [task(0, 4_000_000_000), 1]]}),
        json!({"running": [[task(0, 0), 4_294_967_296_u64]]}),
        json!({"running": [[task(0, 0)]]}),
        json!({"finished": [[u64::MAX, task(0, 0), u32::MAX, "failed", ""]]}),
        json!({"finished": [[0, task(0, 7), 1, "done", ""]]}),
        json!({"running": 7}),
        json!({"finished": {"a": 1}}),
        json!({"clockMs": null}),
        Value::Null,
    ];
    for answer in answers {
        cluster.workers.add_to_reports(0, answer.clone());
        println!("{answer}");
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_works(&mut cluster, "q1").await;
    }
}

/// Guards against a peer's call that ends planning, or makes daemons look for a planner that is none.
#[tokio::test(flavor = "multi_thread")]
async fn odd_calls_of_peers_do_not_stop_planning() {
    let mut cluster = Cluster::start(2, 1).await;
    let asker = json!({"vm": "vm-odd", "zone": "a", "rpc": "no address", "weakness": u32::MAX});
    let offer = json!({"record": planner_record(u64::MAX), "revision": u64::MAX});
    let too_many = accepted(
        "00000000000000e0",
        &json!([accepted_step(u64::from(u32::MAX), &[])]),
    );
    let later = accepted(
        "00000000000000e1",
        &json!([accepted_step(1, &[]), accepted_step(1, &[9])]),
    );
    for daemon in 0..2 {
        let calls = [
            ("submitted", json!([too_many, true])),
            ("submitted", json!([later, true])),
            ("accept", json!([later])),
            ("news", json!([u64::MAX, asker, true, true])),
            ("news", json!([0, asker, null, null])),
            ("offer", json!([offer])),
            ("job", json!(["../x"])),
            ("explain", json!([7])),
            ("taken", json!([planner_record(u64::MAX)])),
            ("odd", json!({})),
        ];
        for (method, params) in calls {
            let answer = call_peer(&cluster, daemon, method, params).await;
            println!("{method} {answer}");
        }
    }
    tokio::time::sleep(CONFIG_APPLY).await;
    assert_works(&mut cluster, "q1").await;
    change_planner(&mut cluster).await;
    assert_works(&mut cluster, "q1").await;
    for daemon in &cluster.daemons {
        assert_eq!(
            daemon.log_lines("new planner recorded planner=vm-odd"),
            [""; 0]
        );
    }
}

fn step(fields: &Value) -> Value {
    let mut step = json!({"count": 1, "cpu": 1, "memMb": 1, "gpu": 0, "estimateMs": 10});
    for (name, value) in fields.as_object().expect("fields") {
        step[name] = value.clone();
    }
    step
}

/// Guards against a caller's job that can't be, and is taken, or ends the planning of all others.
#[tokio::test(flavor = "multi_thread")]
async fn odd_jobs_are_refused_or_run_beside_others() {
    let mut cluster = Cluster::start(2, 1).await;
    let deep = String::from_utf8(deep()).expect("text");
    let refused = [
        json!({"spec": "x", "steps": [step(&json!({"count": 4_000_000_000_u32}))]}),
        json!({"spec": "x", "steps": [step(&json!({"count": 4_294_967_296_u64}))]}),
        json!({"spec": "x", "steps": [step(&json!({"count": 60_000})), step(&json!({"count": 60_000}))]}),
        json!({"spec": "x", "steps": [step(&json!({}))], "repeats": u32::MAX, "intervalMs": 1}),
        json!({"spec": "x", "steps": [step(&json!({}))], "repeats": 2, "intervalMs": 0}),
        json!({"spec": "x", "steps": [step(&json!({"dependsOn": [0]}))]}),
        json!({"spec": "x", "steps": [step(&json!({"dependsOn": [4_000_000_000_u32]}))]}),
        json!({"spec": "x", "steps": [step(&json!({"cpu": -1}))]}),
        json!({"spec": "x", "steps": [step(&json!({"antiAffinity": -1}))]}),
        json!({"spec": "x", "steps": "none"}),
        json!({"spec": "x"}),
        json!([]),
    ];
    for body in &refused {
        let path = format!("/q1/{}", cluster.new_id());
        let status = cluster.submit(0, &path, body).await;
        assert_eq!(status, Some(StatusCode::BAD_REQUEST), "{body}");
    }
    let path = format!("/q1/{}", cluster.new_id());
    let _ = cluster.submit(0, &path, &Value::String(deep)).await;
    assert_works(&mut cluster, "q1").await;
    let most = u32::MAX;
    let extreme = [
        json!({"steps": [step(&json!({"estimateMs": HUGE})),
            step(&json!({"estimateMs": HUGE, "dependsOn": [0]}))]}),
        json!({"steps": [step(&json!({"cpu": most, "memMb": most, "gpu": most, "count": 9}))]}),
        json!({"steps": [step(&json!({})), step(&json!({"gpu": most, "count": 90_000})),
            step(&json!({"gpu": most, "gang": true, "count": 9}))]}),
        json!({"steps": [step(&json!({}))], "startAtMs": HUGE, "repeats": 3, "intervalMs": HUGE}),
        json!({"steps": [step(&json!({}))], "startAtMs": -HUGE, "repeats": 3, "intervalMs": HUGE}),
        json!({"steps": [step(&json!({"estimateMs": -HUGE, "targetMs": HUGE}))]}),
        json!({"steps": [step(&json!({"antiAffinity": most, "mayMiss": most, "longRunning": true,
            "targetMs": HUGE}))]}),
        json!({"steps": [step(&json!({"requirements": ["x".repeat(9_000)], "affinity": "名"}))]}),
    ];
    for queue in ["q0", "q2"] {
        for (index, body) in extreme.iter().enumerate() {
            let path = format!("/{queue}/{}", cluster.new_id());
            let status = cluster.submit(index % 2, &path, body).await;
            println!("{status:?} {}", &body.to_string()[..60]);
            assert!(
                status.is_some_and(|s| !s.is_server_error()),
                "{status:?} {body}"
            );
            assert_works(&mut cluster, "q1").await;
            let _ = cluster.call(0, Method::DELETE, &path, &Value::Null).await;
        }
    }
    change_planner(&mut cluster).await;
    assert_works(&mut cluster, "q1").await;
}

/// Guards against lists of dependencies so long that each pass over the waiting work takes seconds.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_dependencies_do_not_slow_planning() {
    /// Dependencies in one body of the largest size.
    const REPEATS: usize = 100_000;
    let mut cluster = Cluster::start(2, 1).await;
    let mut large = configuration(2);
    large["limits"]["maxBodyBytes"] = json!(262_144);
    cluster.store.put("op/config", &large);
    tokio::time::sleep(CONFIG_APPLY).await;
    let body = json!({"spec": "ms=10", "steps": [step(&json!({"count": 4_000, "gpu": 1})),
        step(&json!({"dependsOn": vec![0; REPEATS]}))]});
    let path = format!("/q2/{}", cluster.new_id());
    assert_eq!(cluster.submit(0, &path, &body).await, Some(StatusCode::OK));
    assert_works(&mut cluster, "q0").await;
}

/// Guards against a caller's deadline of any form that ends its call without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn deadlines_of_any_form_are_answered() {
    let mut cluster = Cluster::start(1, 1).await;
    let address = cluster.daemons[0].address.to_string();
    for deadline in [
        "18446744073709551615",
        "99999999999999999999",
        "-1",
        "1e300",
        "",
        "odd",
    ] {
        let path = format!("/q1/{}", cluster.new_id());
        let headers = [
            ("Host", "jobs.example"),
            ("Authorization", "Bearer key-mesa"),
            ("X-Stairstall-Deadline-Ms", deadline),
        ];
        let call = JsonRequest {
            method: Method::POST,
            address: &address,
            path: &path,
            headers: &headers,
            body: job(1, "ms=10").to_string().into_bytes(),
        };
        let answer = cluster.http.exchange(call, PATIENCE).await;
        let status = answer.expect("an answer").status;
        assert!(!status.is_server_error(), "{deadline}: {status}");
    }
    assert_works(&mut cluster, "q1").await;
}

/// Writes a value to the store that is not in the form in which values are sent.
async fn put_unencoded(cluster: &Cluster, key: &str, value: &str) {
    let address = cluster.store.address().to_string();
    let put = json!({"key": key, "value": value, "lease": 0});
    let body = json!({"expectedRev": [], "put": [put], "remove": []});
    let call = JsonRequest {
        method: Method::POST,
        address: &address,
        path: "/v1/kv-txn",
        headers: &[],
        body: body.to_string().into_bytes(),
    };
    let answer = cluster.http.exchange(call, CALL_TIMEOUT).await;
    assert_eq!(answer.expect("an answer").status, StatusCode::OK);
}

/// Guards against one value that the store hands out in another form and that hides all others of its
/// listing, so that no planner loads anything.
#[tokio::test(flavor = "multi_thread")]
async fn a_value_of_another_form_does_not_hide_the_others() {
    let mut cluster = Cluster::start(2, 1).await;
    for key in [
        &job_key("00000000000000f0"),
        &progress_key("00000000000000f1"),
        "op/evacuate/zone-z",
        "op/unknown",
    ] {
        put_unencoded(&cluster, key, "!no base64!").await;
    }
    assert_works(&mut cluster, "q1").await;
    change_planner(&mut cluster).await;
    assert_works(&mut cluster, "q1").await;
}

//! The command line against a real daemon: output, exit codes, all mistakes clear.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};

use stairstall_standin::{Cluster, ClusterPlan};

/// Returns the daemon's program, which `cargo test --workspace` builds beside this one.
fn daemon() -> PathBuf {
    let beside = PathBuf::from(env!("CARGO_BIN_EXE_stairstall")).with_file_name("stairstalld");
    assert!(
        beside.exists(),
        "build the whole workspace first: {} is missing",
        beside.display()
    );
    beside
}

fn stairstall(server: SocketAddr, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_stairstall"))
        .env("STAIRSTALL_SERVER", server.to_string())
        .args(arguments)
        .output()
        .expect("the command runs")
}

fn succeed(server: SocketAddr, arguments: &[&str]) -> String {
    let output = stairstall(server, arguments);
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{arguments:?}: {error}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn fail(server: SocketAddr, arguments: &[&str], code: i32) -> String {
    let output = stairstall(server, arguments);
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(code), "{arguments:?}: {error}");
    error
}

fn file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("stairstall-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("written");
    path.to_string_lossy().into_owned()
}

const RESOURCES: &str = r#"[
  {"kind": "customer", "name": "mesa", "labels": {"team": "web"}},
  {"kind": "customer", "name": "fonts", "labels": {"team": "type"}},
  {"kind": "priority-class", "name": "batch", "level": 10},
  {"kind": "priority-class", "name": "urgent", "level": 200, "preempts": true},
  {"kind": "service", "name": "triage", "slots": 8, "deadline_ms": 5000}
]"#;

const JOB: &str = r#"{"customer": "fonts", "id": "package", "class": "batch",
  "labels": {"book": "swahili"}, "shape": {"members": 2, "accelerators": 8, "adjacent": true},
  "expected_ms": 300}"#;

#[tokio::test(flavor = "multi_thread")]
async fn operators_and_callers_work_from_the_command_line() {
    let plan = ClusterPlan::small(daemon()).with_sizes(1, 1, 2);
    let cluster = Cluster::start(plan).await.expect("the cluster starts");
    let at = cluster.daemons[0].address();
    configure(at);
    run_a_job(at);
    cluster.wait_for_slots().await;
    let call = [
        "call",
        "triage",
        "/run",
        "--customer",
        "mesa",
        "--class",
        "urgent",
        "--id",
        "ticket-1",
        "--not-repeatable",
        "--data",
        "hello",
    ];
    assert_eq!(succeed(at, &call), "answer to ticket-1: hello");
    let unknown = [
        "call",
        "triage",
        "/run",
        "--customer",
        "nobody",
        "--class",
        "urgent",
    ];
    assert!(fail(at, &unknown, 3).contains("nobody"));
    assert!(succeed(at, &["status"]).contains("store_calls"));
    assert!(succeed(at, &["--help"]).contains("Exit codes"));
}

fn configure(at: SocketAddr) {
    let resources = file("resources.json", RESOURCES);
    assert!(succeed(at, &["apply", "--dry-run", &resources]).contains("would make revision 1"));
    assert_eq!(succeed(at, &["apply", &resources]), "revision 1\n");
    assert!(succeed(at, &["get", "customers"]).contains("mesa"));
    let only = succeed(
        at,
        &[
            "--output",
            "json",
            "get",
            "customers",
            "--selector",
            "team=type",
        ],
    );
    let only: serde_json::Value = serde_json::from_str(&only).expect("JSON");
    assert_eq!(only["resources"].as_array().map(Vec::len), Some(1));
    let set = [
        "set",
        "customers",
        "weight=7",
        "--selector",
        "team in (web,type)",
    ];
    assert_eq!(succeed(at, &set), "revision 2\n");
    let late = [
        "set",
        "customers",
        "weight=1",
        "--selector",
        "team",
        "--base",
        "1",
    ];
    assert!(fail(at, &late, 4).contains("revision 2"));
    assert!(
        fail(
            at,
            &["set", "customers", "shape=1", "--selector", "team"],
            2
        )
        .contains("shape")
    );
    assert!(fail(at, &["delete", "customer", "nobody"], 2).contains("nobody"));
}

fn run_a_job(at: SocketAddr) {
    let job = file("job.json", JOB);
    assert!(succeed(at, &["submit", &job]).contains("accepted"));
    assert!(succeed(at, &["wait", "fonts/package"]).contains("done by member 0"));
    assert!(succeed(at, &["get", "jobs", "--selector", "book=swahili"]).contains("finished"));
    assert!(succeed(at, &["explain", "fonts/package"]).contains("fonts/package"));
    assert!(fail(at, &["job", "fonts/none"], 6).contains("no job"));
    // A whole group of jobs is changed by one rule.
    let rule = ["set", "jobs", "class=urgent", "--selector", "book=swahili"];
    assert_eq!(succeed(at, &rule), "revision 3\n");
    assert!(succeed(at, &["get", "rules"]).contains("book=swahili"));
}

#[test]
fn flags_are_read_from_the_environment_too() {
    let read = Command::new(env!("CARGO_BIN_EXE_stairstall"))
        .env("STAIRSTALL_SERVER", "127.0.0.1:1")
        .env("STAIRSTALL_SELECTOR", "a b c")
        .args(["get", "customers"])
        .output()
        .expect("the command runs");
    let error = String::from_utf8_lossy(&read.stderr).into_owned();
    assert_eq!(read.status.code(), Some(2), "{error}");
    assert!(error.contains("a b c"), "{error}");
}

#[test]
fn a_daemon_that_can_not_be_reached_means_not_run() {
    let nowhere: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    assert!(fail(nowhere, &["status"], 3).contains("nothing ran"));
    assert!(fail(nowhere, &["get", "planets"], 2).contains("planets"));
}

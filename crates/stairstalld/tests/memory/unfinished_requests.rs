//! Crowds at each address that clients reach, in both modes.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use stairstall_platform_standin::{StandinStore, StandinWorkers};
use stairstall_standin::{Cluster, ClusterPlan};
use tokio::sync::Mutex;

use crate::cluster::{Daemon, configuration};
use crate::crowd::{BODY_BYTES, FORMS, Form, Head, ordinary_request, press};
use crate::process::{OpenFiles, peak_memory};

/// Memory and open files of the VM.
const MEMORY_MB: usize = 64;
const OPEN_FILES: usize = 256;
/// How often an ordinary request is sent until it is answered.
const ATTEMPTS: usize = 20;
const PAUSE: Duration = Duration::from_millis(500);

/// One test at a time.
static ALONE: Mutex<()> = Mutex::const_new(());

/// Where a crowd comes to, and what is asked there.
struct Target {
    id: u32,
    address: SocketAddr,
    head: Head,
    ordinary: String,
    expected: u16,
}

impl Target {
    /// Checks that the process bears a crowd of one form.
    async fn bears(&self, form: Form) {
        let open_files = OpenFiles::watch(self.id);
        let crowd = press(self.address, &self.head, form).await;
        let mut status = None;
        for _ in 0..ATTEMPTS {
            status = ordinary_request(self.address, &self.ordinary).await;
            if status == Some(self.expected) {
                break;
            }
            tokio::time::sleep(PAUSE).await;
        }
        let memory = peak_memory(self.id);
        let (memory_mb, files) = (memory.map(|bytes| bytes / 1_000_000), open_files.most());
        println!(
            "{form:?}: {memory_mb:?} MB, {files} open files, ordinary request {status:?}, {} connections left",
            crowd.len()
        );
        assert!(memory_mb.is_some(), "{form:?}: the process has ended");
        assert!(memory_mb <= Some(MEMORY_MB), "{form:?}: {memory_mb:?} MB");
        assert!(files <= OPEN_FILES, "{form:?}: {files} open files");
        assert_eq!(status, Some(self.expected), "{form:?}: an ordinary request");
    }
}

fn wide_configuration() -> Value {
    let mut configuration = configuration(1);
    configuration["limits"]["maxBodyBytes"] = json!(2 * BODY_BYTES);
    configuration
}

/// Which address of a batch daemon a crowd comes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Address {
    Callers,
    Health,
    Metrics,
}

async fn batch_daemon_bears(address: Address, form: Form) {
    let _alone = ALONE.lock().await;
    let store = StandinStore::start().await.expect("a store");
    store.put("op/config", &wide_configuration());
    let _workers = StandinWorkers::start(&store, "desk", 2).await;
    let (memory, files) = (MEMORY_MB.to_string(), OPEN_FILES.to_string());
    let flags = ["--memory-mb", &memory, "--open-files", &files];
    let daemon = Daemon::start_with("vm-0", &store, &flags).await;
    daemon.wait_for_line("jobs and workers loaded").await;
    let post = "POST /q0/00000000000000aa HTTP/1.1\r\nhost: jobs.example\r\nauthorization: Bearer key-mesa\r\n";
    let get = |path: &str| {
        format!(
            "GET {path} HTTP/1.1\r\nhost: jobs.example\r\nauthorization: Bearer key-mesa\r\n\r\n"
        )
    };
    let body =
        json!({"spec": "ms=1", "steps": [{"count": 1, "cpu": 1, "memMb": 1, "estimateMs": 1}]})
            .to_string();
    let whole = format!(
        "POST /q0/00000000000000bb HTTP/1.1\r\nhost: jobs.example\r\nauthorization: Bearer key-mesa\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let (socket, ordinary) = match address {
        Address::Callers => (daemon.address, whole),
        Address::Health => (daemon.health, get("/v1/readyz")),
        Address::Metrics => (daemon.metrics, get("/metrics")),
    };
    let target = Target {
        id: daemon.id().expect("it runs"),
        address: socket,
        head: Head(post.to_owned()),
        ordinary,
        expected: 200,
    };
    target.bears(form).await;
}

async fn native_daemon_bears(form: Form) {
    let _alone = ALONE.lock().await;
    let mut plan = ClusterPlan::small(env!("CARGO_BIN_EXE_stairstalld")).with_sizes(1, 1, 1);
    plan.environment = vec![
        ("STAIRSTALL_MEMORY_MB".to_owned(), MEMORY_MB.to_string()),
        ("STAIRSTALL_OPEN_FILES".to_owned(), OPEN_FILES.to_string()),
    ];
    let cluster = Cluster::start(plan).await.expect("a cluster");
    let daemon = &cluster.daemons[0];
    let target = Target {
        id: daemon.process_id().expect("it runs"),
        address: daemon.address(),
        head: Head("POST /v1/jobs HTTP/1.1\r\nhost: jobs.example\r\n".to_owned()),
        ordinary: "GET /v1/status HTTP/1.1\r\nhost: jobs.example\r\n\r\n".to_owned(),
        expected: 200,
    };
    target.bears(form).await;
}

macro_rules! crowds {
    ($($name:ident $form:ident)*) => {
        mod at_the_callers_address {
            $(#[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                super::batch_daemon_bears(super::Address::Callers, super::Form::$form).await;
            })*
        }

        mod at_the_health_address {
            $(#[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                super::batch_daemon_bears(super::Address::Health, super::Form::$form).await;
            })*
        }

        mod at_the_metrics_address {
            $(#[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                super::batch_daemon_bears(super::Address::Metrics, super::Form::$form).await;
            })*
        }

        mod in_the_mode_with_zones_of_its_own {
            $(#[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                super::native_daemon_bears(super::Form::$form).await;
            })*
        }

        #[test]
        fn every_form_has_its_tests() {
            assert_eq!(FORMS.to_vec(), vec![$(Form::$form),*]);
        }
    };
}

crowds! {
    headers_without_end_are_borne EndlessHeader
    heads_without_end_are_borne EndlessHeaders
    empty_lines_without_end_are_borne EmptyLines
    bodies_that_stop_short_are_borne WholeBodies
    bodies_in_pieces_that_stop_short_are_borne BodiesInPieces
    large_chunks_that_stop_short_are_borne LargeChunks
    small_chunks_that_stop_short_are_borne SmallChunks
}

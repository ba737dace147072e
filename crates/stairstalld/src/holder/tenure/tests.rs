use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use super::{AcquiredRole, End, Tenure};
use crate::daemon::Daemon;
use crate::metrics::Metrics;
use crate::settings::Settings;

const PATIENCE: Duration = Duration::from_secs(10);

/// A daemon whose store does not answer.
fn cut_off_daemon() -> Arc<Daemon> {
    let settings = Settings::from_arguments(&[
        "--vm",
        "vm-0",
        "--zone",
        "zone-a",
        "--listen",
        "127.0.0.1:0",
        "--rpc-listen",
        "127.0.0.1:0",
        "--store",
        "127.0.0.1:9",
        "--vm-list",
        "127.0.0.1:9",
    ]);
    let settings = settings.expect("valid settings");
    let address = settings.listen;
    let metrics = Metrics::new(None).expect("no target");
    let daemon = Daemon::new(settings, address, metrics, mpsc::channel(1).0);
    daemon.record_store_answer(false);
    Arc::new(daemon)
}

#[tokio::test]
async fn a_tenure_ends_with_a_task_that_ends() {
    let role = AcquiredRole {
        token: 1,
        lease: None,
    };
    let (_queries, mut inbox) = mpsc::channel(1);
    let mut tenure = Tenure::new(cut_off_daemon(), role);
    tenure.tasks.spawn("jobs", async { panic!("no more jobs") });
    let end = tokio::time::timeout(PATIENCE, tenure.serve(&mut inbox)).await;
    assert_eq!(end, Ok(End::TaskEnded("jobs")));
}

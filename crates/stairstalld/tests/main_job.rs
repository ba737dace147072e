//! Killing any one daemon during the main job loses no accepted job and runs
//! no not-repeatable work twice.

mod common;

use std::time::Duration;

use common::plan;
use stairstall_standin::ClusterPlan;
use stairstall_standin::main_job::{Deployment, Fault, run};

const LENGTH: Duration = Duration::from_secs(5);

fn little() -> ClusterPlan {
    plan().with_zones(2).with_sizes(2, 6, 8)
}

async fn check(deployment: Deployment, fault: Fault) {
    let report = run(little(), &deployment, fault)
        .await
        .expect("the cluster starts");
    println!("{fault:?}\n{report}");
    assert!(report.broken.is_empty(), "{fault:?}: {:#?}", report.broken);
    assert_eq!(
        report.claims.0, report.claims.1,
        "{fault:?}: a guarantee was not reclaimed"
    );
    let ran = report.requests.get("ran").copied().unwrap_or(0);
    let all: usize = report.requests.values().sum();
    if fault == Fault::None {
        assert_eq!(ran, all, "{:?}", report.requests);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn both_deployments_are_served_whole() {
    check(Deployment::triage(7, LENGTH, 1), Fault::None).await;
    check(Deployment::fonts(7, LENGTH, 1), Fault::None).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn killing_any_one_daemon_loses_nothing_that_was_accepted() {
    for index in 0..4 {
        let deployment = if index % 2 == 0 {
            Deployment::triage(8, LENGTH, 1)
        } else {
            Deployment::fonts(8, LENGTH, 1)
        };
        check(deployment, Fault::KillDaemon(index)).await;
    }
}

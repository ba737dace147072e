//! What a planner has learnt reaches the next one through the store.

use hyper::StatusCode;

use crate::cluster::{Cluster, job};

/// Runs enough short work for its run times to be known.
async fn run_some(cluster: &mut Cluster) {
    let path = format!("/q2/{}", cluster.new_id());
    let status = cluster.submit(0, &path, &job(16, "ms=50")).await;
    assert_eq!(status, Some(StatusCode::OK));
    cluster.wait_for(&path, "completed").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_successor_reads_what_a_killed_planner_had_learnt() {
    let mut cluster = Cluster::start(2, 2).await;
    run_some(&mut cluster).await;
    let planner = cluster.planner();
    let written = "done=true storing learned estimates";
    cluster.daemons[planner].wait_for_line(written).await;
    cluster.daemons[planner].kill().await;
    cluster.daemons.remove(planner);
    cluster.daemons[0]
        .wait_for_line("read learned estimates")
        .await;
    run_some(&mut cluster).await;
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_record_that_another_writer_has_spoilt_is_ignored() {
    let mut cluster = Cluster::start(0, 2).await;
    for spoilt in [&b"{\"run_times\":7}"[..], &[0xff, 0x00, 0xfe], b""] {
        cluster.store.put_bytes("stairstall/learnt", spoilt);
        let name = format!("vm-{}", spoilt.len());
        let daemon = crate::cluster::Daemon::start(&name, &cluster.store).await;
        cluster.daemons.push(daemon);
        cluster.wait_until_planned().await;
        cluster.daemons[0]
            .wait_for_line("can't decode learned estimates")
            .await;
        run_some(&mut cluster).await;
        cluster.daemons[0].stop().await;
        cluster.daemons.clear();
    }
    cluster.assert_no_violations();
}

//! Bounds on what daemons ask of the store, in counts that don't depend on the machine.

mod common;

use std::time::{Duration, Instant};

use common::{TestCall, gang, job, plan, running, start, submit, wait_for_end};
use serde_json::json;
use stairstall_standin::Cluster;

/// A daemon reads the head at most this often while its watch is silent.
const READS_A_SECOND: f64 = 0.4;
/// A holder renews its lease this often.
const WRITES_A_SECOND: f64 = 0.7;

/// Returns calls that read and that write, so far.
fn calls(cluster: &Cluster) -> (f64, f64) {
    let (reads, writes, _) = cluster.store.calls();
    let float = |n: u64| f64::from(u32::try_from(n).expect("few calls"));
    (float(reads), float(writes))
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_daemons_ask_little_of_the_store() {
    let cluster = start(plan().with_zones(2)).await;
    cluster.wait_for_slots().await;
    let (before, started) = (calls(&cluster), Instant::now());
    tokio::time::sleep(Duration::from_secs(9)).await;
    let (now, seconds) = (calls(&cluster), started.elapsed().as_secs_f64());
    let (reads, writes) = (now.0 - before.0, now.1 - before.1);
    println!("{reads} reads and {writes} writes in {seconds:.1} s by 4 daemons, 2 of them holders");
    assert!(
        reads <= READS_A_SECOND * 4.0 * seconds + 4.0,
        "{reads} reads"
    );
    assert!(
        writes <= WRITES_A_SECOND * 2.0 * seconds + 2.0,
        "{writes} writes"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn work_costs_a_known_number_of_writes() {
    let cluster = start(plan().with_sizes(2, 2, 4)).await;
    cluster.wait_for_slots().await;
    let at = running(&cluster);
    // The first of each kind takes the lease under which ended work is kept.
    assert_eq!(
        TestCall::new("warm")
            .not_repeatable()
            .send(&cluster.caller, at)
            .await
            .unwrap()
            .status,
        200
    );
    submit(&cluster, &job("fonts", "warm", &gang(1), 50)).await;
    wait_for_end(&cluster, at, "fonts/warm").await;
    tokio::time::sleep(Duration::from_millis(500)).await;

    let (before, started) = (calls(&cluster).1, Instant::now());
    for number in 0..10 {
        submit(
            &cluster,
            &job("fonts", &format!("job-{number}"), &gang(1), 50),
        )
        .await;
    }
    for number in 0..10 {
        wait_for_end(&cluster, at, &format!("fonts/job-{number}")).await;
    }
    let renewals = started.elapsed().as_secs_f64() * WRITES_A_SECOND + 2.0;
    let writes = calls(&cluster).1 - before;
    println!("{writes} writes for 10 jobs, at most {renewals:.0} of them renewals");
    assert!(
        writes <= 30.0 + renewals,
        "accepted, placed, ended: {writes} writes"
    );

    let (before, started) = (calls(&cluster).1, Instant::now());
    for number in 0..20 {
        let id = format!("paid-{number}");
        let reply = TestCall::new(&id)
            .not_repeatable()
            .send(&cluster.caller, at)
            .await;
        assert_eq!(reply.unwrap().status, 200);
        let id = format!("free-{number}");
        assert_eq!(
            TestCall::new(&id)
                .send(&cluster.caller, at)
                .await
                .unwrap()
                .status,
            200
        );
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let renewals = started.elapsed().as_secs_f64() * WRITES_A_SECOND + 2.0;
    let writes = calls(&cluster).1 - before;
    println!("{writes} writes for 20 paid and 20 free requests");
    assert!(
        writes <= 40.0 + renewals,
        "claim and answer, nothing for free work: {writes}"
    );

    let (before, started) = (calls(&cluster).1, Instant::now());
    for number in 0..20 {
        let change = json!({"id": format!("weight-{number}"), "operations": [{
            "operation": "set", "of": "customer", "selector": "",
            "assignment": {"field": "weight", "value": number % 9 + 1}}]});
        let reply = cluster
            .caller
            .post(at, "/v1/config", &change)
            .await
            .unwrap();
        assert_eq!(reply.status, 200);
    }
    let renewals = started.elapsed().as_secs_f64() * WRITES_A_SECOND + 2.0;
    let writes = calls(&cluster).1 - before;
    println!("{writes} writes for 20 changes of 3 customers each");
    assert!(
        writes <= 20.0 + 2.0 + renewals,
        "one write whatever is selected: {writes}"
    );
}

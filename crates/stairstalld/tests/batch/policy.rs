//! Values of the policy from the command line.

use std::time::Duration;

use stairstalld::batch::settings::BatchSettings;

const FLAGS: &[&str] = &[
    "--vm=a",
    "--zone=z",
    "--listen=127.0.0.1:1",
    "--health-listen=127.0.0.1:2",
    "--rpc-listen=127.0.0.1:3",
    "--metrics-listen=127.0.0.1:4",
    "--store=127.0.0.1:5",
    "--hold-max-ms=6000",
    "--stop-max-ms=900",
];

fn with(policy: &[&str]) -> Result<BatchSettings, String> {
    let changes = policy.iter().map(|change| format!("--policy={change}"));
    let flags: Vec<String> = FLAGS
        .iter()
        .map(ToString::to_string)
        .chain(changes)
        .collect();
    let flags: Vec<&str> = flags.iter().map(String::as_str).collect();
    BatchSettings::from_arguments(&flags).map_err(|mistakes| mistakes.to_string())
}

#[test]
fn one_value_is_changed_and_the_others_stay() {
    let usual = with(&[]).unwrap().policy;
    let changed = with(&["reports.shortest_wait=500", "headroom.kept_seconds=0.5"]);
    let changed = changed.unwrap().policy;
    assert_eq!(changed.reports.shortest_wait, Duration::from_millis(500));
    assert!((changed.headroom.kept_seconds - 0.5).abs() < f64::EPSILON);
    assert_eq!(changed.reports.longest_wait, usual.reports.longest_wait);
    assert_eq!(changed.victims, usual.victims);
}

#[test]
fn what_is_no_value_of_the_policy_is_refused_by_name() {
    for (change, says) in [
        ("reports.shortest=5", "reports.shortest"),
        ("reports", "GROUP.FIELD=VALUE"),
        ("reports.shortest_wait=soon", "a number, true or false"),
        ("reports.shortest_wait=true", "reports.shortest_wait"),
        ("orders.max_tries=-1", "orders.max_tries"),
        ("reports.shortest_wait=90000", "must not be more than"),
        ("writing.jobs_per_write=0", "more than zero"),
    ] {
        let refused = with(&[change]).unwrap_err();
        assert!(refused.contains("--policy"), "{change}: {refused}");
        assert!(refused.contains(says), "{change}: {refused}");
    }
}

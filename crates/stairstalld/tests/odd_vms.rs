//! Odd entries that another writer leaves in the platform's list of VMs, which daemons of the native
//! mode read.

use serde_json::{Value, json};
use stairstall_standin::{Cluster, wait_until};

use common::{TestCall, plan, runs_of, start};

mod common;

/// How deeply the nested values are nested.
const DEPTH: usize = 20_000;
const ENORMOUS_BYTES: usize = 1_000_000;

/// Returns an entry of another service than the calls ask for.
fn minion() -> Value {
    json!({"id": "odd", "zone": "zone-a", "address": "127.0.0.1:9", "state": "live", "role": "minion",
        "service": "other"})
}

/// Replaces the value of a field by any JSON text.
fn with_field(field: &str, text: &str) -> String {
    const MARK: &str = "the odd value";
    let mut entry = minion();
    entry[field] = json!(MARK);
    entry.to_string().replace(&format!("\"{MARK}\""), text)
}

/// Returns entries that name no VM, or one of another service.
fn odd_entries() -> Vec<String> {
    let nested = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let enormous = json!("x".repeat(ENORMOUS_BYTES)).to_string();
    let long_name = json!("n".repeat(200)).to_string();
    let fields = [
        ("address", "\"127.0.0.1:65536\""),
        ("address", "\"127.0.0.1:99999999\""),
        ("address", "\"minion.example:80\""),
        ("address", "\"\""),
        ("address", "7"),
        ("state", "\"sleeping\""),
        ("role", "\"cook\""),
        ("role", "null"),
        ("id", "\"\""),
        ("id", "\"a/b\""),
        ("id", "\"né\""),
        ("id", &long_name),
        ("zone", "\"\""),
        ("service", "null"),
        ("service", &enormous),
        ("born_unix_ms", "18446744073709551616"),
        ("born_unix_ms", "-1"),
        ("born_unix_ms", "1e999"),
        ("address", &nested),
        ("unknown", &nested),
        ("unknown", "1e999"),
    ];
    let mut entries: Vec<String> = fields
        .iter()
        .map(|(field, text)| with_field(field, text))
        .collect();
    let whole = ["null", "[]", "{}", "7", "1e999", "\"text\"", &nested];
    entries.extend(whole.map(str::to_owned));
    entries.push(with_field("id", "\"odd\"").replacen('{', "{\"id\":\"other\",", 1));
    entries
}

/// Waits until a daemon may use the slots of so many minions.
async fn wait_for_minions(cluster: &Cluster, daemon: usize, minions: u64) {
    let daemon = &cluster.daemons[daemon];
    let slots = minions * u64::from(cluster.plan.slots);
    let hears = async || {
        let status = cluster.caller.status(daemon.address()).await;
        let services = status.map(|s| s["daemon"]["services"].clone());
        let services = services
            .and_then(|s| s.as_array().cloned())
            .unwrap_or_default();
        services.iter().any(|s| s["free"].as_u64() == Some(slots))
    };
    wait_until(&format!("{minions} minions at {}", daemon.name()), hears).await;
}

async fn check_serves(cluster: &Cluster, daemon: usize, id: &str) {
    let call = TestCall::new(id);
    let at = cluster.daemons[daemon].address();
    let reply = call.send(&cluster.caller, at).await.expect("an answer");
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(runs_of(cluster, id), 1);
}

/// Guards against odd entries because of which a daemon misses every later change of the list.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_in_the_list_of_vms_hide_no_later_change() {
    let mut cluster = start(plan().with_sizes(1, 1, 0)).await;
    wait_for_minions(&cluster, 0, 1).await;
    for entry in odd_entries() {
        cluster.vm_list.put_odd(&entry);
    }
    cluster.add_minion("later", "zone-a").await.expect("starts");
    wait_for_minions(&cluster, 0, 2).await;
    check_serves(&cluster, 0, "call").await;
}

/// Guards against odd entries because of which a daemon that starts knows no minion.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_starts_on_a_list_of_vms_with_odd_entries() {
    let mut cluster = start(plan().with_sizes(1, 1, 0)).await;
    for entry in odd_entries() {
        cluster.vm_list.put_odd(&entry);
    }
    let started = cluster.add_daemon("vm-cold", "zone-a").await;
    let cold = started.expect("it starts");
    // The daemons share the slots of the minion.
    cluster.wait_for_slots().await;
    check_serves(&cluster, cold, "call").await;
}

use std::collections::BTreeMap;
use std::time::Duration;

use stairstall_store::wire::{
    EventType, Header, KeyValue, LeaseMessage, Long, RangeRequest, RangeResponse, RequestOp,
    ResponseOp, TxnRequest, TxnResponse, WatchCreate, WatchEvent,
};

#[derive(Debug, Clone)]
struct LeaseState {
    ttl: Duration,
    left: Duration,
}

/// Keys, leases and the whole history of events.
#[derive(Debug, Default)]
pub(super) struct State {
    revision: u64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    leases: BTreeMap<u64, LeaseState>,
    next_lease: u64,
    history: Vec<WatchEvent>,
}

impl State {
    pub(super) const fn revision(&self) -> u64 {
        self.revision
    }

    const fn header(&self) -> Header {
        Header {
            revision: Long(self.revision),
        }
    }

    pub(super) fn dump(&self, prefix: &str) -> Vec<(String, String)> {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        self.keys
            .iter()
            .filter(|(key, _)| key.starts_with(prefix.as_bytes()))
            .map(|(key, kv)| (text(key), text(&kv.value.0)))
            .collect()
    }

    pub(super) fn range(&self, request: &RangeRequest) -> RangeResponse {
        let limit = if request.limit.0 == 0 {
            u64::MAX
        } else {
            request.limit.0
        };
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let found = self
            .keys
            .values()
            .filter(|kv| in_range(&kv.key.0, &request.key.0, &request.range_end.0));
        let mut kvs: Vec<KeyValue> = found.take(limit.saturating_add(1)).cloned().collect();
        let more = kvs.len() > limit;
        kvs.truncate(limit);
        RangeResponse {
            header: self.header(),
            kvs,
            more,
        }
    }

    /// Tells whether every lease that a transaction names is there.
    pub(super) fn has_leases(&self, request: &TxnRequest) -> bool {
        let puts = request
            .success
            .iter()
            .filter_map(|op| op.request_put.as_ref());
        puts.map(|put| put.lease.0)
            .all(|id| id == 0 || self.leases.contains_key(&id))
    }

    /// Loses every lease, and the keys under them.
    pub(super) fn drop_leases(&mut self) {
        let ids: Vec<u64> = self.leases.keys().copied().collect();
        for id in ids {
            self.revoke(id);
        }
    }

    pub(super) fn transact(&mut self, request: &TxnRequest) -> TxnResponse {
        let succeeded = request.compare.iter().all(|compare| {
            let found = self
                .keys
                .get(&compare.key.0)
                .map_or(Long(0), |kv| kv.mod_revision);
            found == compare.mod_revision
        });
        let ops = if succeeded {
            &request.success
        } else {
            &request.failure
        };
        let responses = ops.iter().map(|op| self.carry_out(op)).collect();
        TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        }
    }

    fn carry_out(&mut self, op: &RequestOp) -> ResponseOp {
        if let Some(put) = &op.request_put {
            self.revision += 1;
            let create = self
                .keys
                .get(&put.key.0)
                .map_or(Long(self.revision), |kv| kv.create_revision);
            let kv = KeyValue {
                key: put.key.clone(),
                value: put.value.clone(),
                mod_revision: Long(self.revision),
                create_revision: create,
                lease: put.lease,
            };
            self.history.push(WatchEvent {
                kind: EventType::Put,
                kv: kv.clone(),
            });
            self.keys.insert(put.key.0.clone(), kv);
        }
        if let Some(delete) = &op.request_delete_range {
            self.delete(&delete.key.0.clone());
        }
        let response_range = op.request_range.as_ref().map(|range| self.range(range));
        ResponseOp { response_range }
    }

    fn delete(&mut self, key: &[u8]) {
        if let Some(mut kv) = self.keys.remove(key) {
            self.revision += 1;
            kv.mod_revision = Long(self.revision);
            kv.value.0.clear();
            self.history.push(WatchEvent {
                kind: EventType::Delete,
                kv,
            });
        }
    }

    pub(super) fn grant(&mut self, ttl: u64) -> LeaseMessage {
        self.next_lease += 1;
        let left = Duration::from_secs(ttl);
        self.leases
            .insert(self.next_lease, LeaseState { ttl: left, left });
        LeaseMessage {
            id: Long(self.next_lease),
            ttl: Long(ttl),
        }
    }

    pub(super) fn keep_alive(&mut self, id: u64) -> LeaseMessage {
        let ttl = self.leases.get_mut(&id).map_or(0, |lease| {
            lease.left = lease.ttl;
            lease.ttl.as_secs()
        });
        LeaseMessage {
            id: Long(id),
            ttl: Long(ttl),
        }
    }

    pub(super) fn revoke(&mut self, id: u64) -> LeaseMessage {
        self.leases.remove(&id);
        let keys: Vec<Vec<u8>> = self
            .keys
            .values()
            .filter(|kv| kv.lease.0 == id)
            .map(|kv| kv.key.0.clone())
            .collect();
        for key in keys {
            self.delete(&key);
        }
        LeaseMessage {
            id: Long(id),
            ttl: Long(0),
        }
    }

    pub(super) fn expire(&mut self, passed: Duration) {
        for lease in self.leases.values_mut() {
            lease.left = lease.left.saturating_sub(passed);
        }
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.left.is_zero())
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.revoke(id);
        }
    }

    /// Returns the events of a watch from a revision on, and the revision to go on from.
    pub(super) fn events(&self, watch: &WatchCreate, from: u64) -> (Vec<WatchEvent>, u64) {
        let start = self
            .history
            .partition_point(|event| event.kv.mod_revision.0 < from);
        let events = self.history[start..]
            .iter()
            .filter(|event| in_range(&event.kv.key.0, &watch.key.0, &watch.range_end.0))
            .cloned()
            .collect();
        (events, self.revision + 1)
    }
}

fn in_range(key: &[u8], first: &[u8], end: &[u8]) -> bool {
    if end.is_empty() {
        key == first
    } else {
        key >= first && key < end
    }
}

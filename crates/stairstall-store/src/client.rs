use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use stairstall_http::HttpClient;

use crate::wire::{
    Blob, Compare, DeleteRequest, KeepAliveResponse, KeyValue, LeaseMessage, Long, PutRequest,
    RangeRequest, RangeResponse, RequestOp, TxnRequest, TxnResponse, prefix_end,
};
use crate::{StoreError, Watch};

/// Largest value that the store takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// Keys that one call of a listing returns.
const PAGE: u64 = 500;

/// Names a lease of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// A key with its value and the revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub revision: u64,
}

impl Entry {
    /// Reads the value as JSON; none where it is not in the expected form.
    #[must_use]
    pub fn read<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.value).ok()
    }

    pub(crate) fn from_wire(kv: KeyValue) -> Self {
        Self {
            key: String::from_utf8_lossy(&kv.key.0).into_owned(),
            value: kv.value.0,
            revision: kv.mod_revision.0,
        }
    }
}

/// All keys of a prefix at about one time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The entries.
    pub entries: Vec<Entry>,
    /// The store's revision before the first page: a watch from the next one misses nothing.
    pub revision: u64,
}

/// What a compare-and-swap expects to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// No such key.
    Absent,
    /// The key as last changed at this revision.
    Revision(u64),
}

impl Expect {
    const fn revision(self) -> Long {
        match self {
            Self::Absent => Long(0),
            Self::Revision(revision) => Long(revision),
        }
    }
}

/// Outcome of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Swap {
    /// It took effect at this revision.
    Applied(u64),
    /// It did not; this stands there instead.
    Conflict(Option<Entry>),
}

/// The platform's store; clones share connections and counts.
#[derive(Debug, Clone)]
pub struct Store {
    client: HttpClient,
    address: SocketAddr,
    timeout: Duration,
    calls: Arc<AtomicU64>,
}

impl Store {
    /// Creates a client of the store at `address`; each call takes at most `timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let client = HttpClient::new(timeout, 8);
        Self {
            client,
            address,
            timeout,
            calls: Arc::default(),
        }
    }

    /// Returns how many calls were made, each watch counted as one.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) const fn client(&self) -> &HttpClient {
        &self.client
    }

    pub(crate) const fn timeout(&self) -> Duration {
        self.timeout
    }

    pub(crate) fn count_call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    async fn call<Q, A>(&self, path: &str, body: &Q) -> Result<A, StoreError>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        self.count_call();
        let answer = self
            .client
            .json(Method::POST, self.address, path, Some(body), self.timeout)
            .await?;
        if !answer.status.is_success() {
            return Err(StoreError::Status(answer.status.as_u16()));
        }
        Ok(answer.read()?)
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let request = RangeRequest {
            key: key.into(),
            ..RangeRequest::default()
        };
        let answer: RangeResponse = self.call("/v3/kv/range", &request).await?;
        Ok(answer.kvs.into_iter().next().map(Entry::from_wire))
    }

    /// Reads all keys that start with `prefix`, some hundred with each call.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        let mut listing = Listing {
            entries: Vec::new(),
            revision: 0,
        };
        let mut from = Blob::from(prefix);
        loop {
            let request = RangeRequest {
                key: from,
                range_end: prefix_end(prefix),
                limit: Long(PAGE),
            };
            let answer: RangeResponse = self.call("/v3/kv/range", &request).await?;
            if listing.revision == 0 {
                listing.revision = answer.header.revision.0;
            }
            from = match answer.kvs.last() {
                Some(last) => Blob([last.key.0.as_slice(), &[0]].concat()),
                None => return Ok(listing),
            };
            listing
                .entries
                .extend(answer.kvs.into_iter().map(Entry::from_wire));
            if !answer.more {
                return Ok(listing);
            }
        }
    }

    /// Writes a key if it is as expected.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer; its verdict says whether the write may
    /// have taken effect.
    pub async fn swap<T: Serialize + Sync>(
        &self,
        key: &str,
        expect: Expect,
        value: &T,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        let value = serde_json::to_vec(value)
            .map_err(|e| stairstall_http::CallError::InvalidFormat(e.to_string()))?;
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge(value.len()));
        }
        let lease = Long(lease.map_or(0, |lease| lease.0));
        let put = PutRequest {
            key: key.into(),
            value: Blob(value),
            lease,
        };
        let op = RequestOp {
            request_put: Some(put),
            ..RequestOp::default()
        };
        self.transact(key, expect, op).await
    }

    /// Deletes a key if it is as expected.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn delete(&self, key: &str, expect: Expect) -> Result<Swap, StoreError> {
        let delete = DeleteRequest { key: key.into() };
        let op = RequestOp {
            request_delete_range: Some(delete),
            ..RequestOp::default()
        };
        self.transact(key, expect, op).await
    }

    async fn transact(&self, key: &str, expect: Expect, op: RequestOp) -> Result<Swap, StoreError> {
        let compare = Compare {
            result: "EQUAL".to_owned(),
            target: "MOD".to_owned(),
            key: key.into(),
            mod_revision: expect.revision(),
        };
        let read = RangeRequest {
            key: key.into(),
            ..RangeRequest::default()
        };
        let read = RequestOp {
            request_range: Some(read),
            ..RequestOp::default()
        };
        let request = TxnRequest {
            compare: vec![compare],
            success: vec![op],
            failure: vec![read],
        };
        let answer: TxnResponse = self.call("/v3/kv/txn", &request).await?;
        if answer.succeeded {
            return Ok(Swap::Applied(answer.header.revision.0));
        }
        let found = answer.responses.into_iter().find_map(|r| r.response_range);
        let found = found.and_then(|range| range.kvs.into_iter().next());
        Ok(Swap::Conflict(found.map(Entry::from_wire)))
    }

    /// Takes a lease that the store keeps for `ttl`, in whole seconds.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let request = LeaseMessage {
            ttl: Long(ttl.as_secs()),
            ..LeaseMessage::default()
        };
        let answer: LeaseMessage = self.call("/v3/lease/grant", &request).await?;
        Ok(LeaseId(answer.id.0))
    }

    /// Renews a lease; false where the store no longer has it.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn keep_alive(&self, lease: LeaseId) -> Result<bool, StoreError> {
        let request = LeaseMessage {
            id: Long(lease.0),
            ..LeaseMessage::default()
        };
        let answer: KeepAliveResponse = self.call("/v3/lease/keepalive", &request).await?;
        Ok(answer.result.ttl.0 > 0)
    }

    /// Gives a lease up; the keys under it go with it.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        let request = LeaseMessage {
            id: Long(lease.0),
            ..LeaseMessage::default()
        };
        let _: serde_json::Value = self.call("/v3/lease/revoke", &request).await?;
        Ok(())
    }

    /// Watches a key, or all keys that start with it, from a revision on.
    ///
    /// # Errors
    ///
    /// Returns why the watch was not taken up.
    pub async fn watch(
        &self,
        prefix: &str,
        whole_prefix: bool,
        start_revision: u64,
    ) -> Result<Watch, StoreError> {
        Watch::open(self, prefix, whole_prefix, start_revision).await
    }
}

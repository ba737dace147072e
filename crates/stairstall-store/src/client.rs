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

/// Largest value that the store accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// Maximum number of keys per page of a listing.
const PAGE_SIZE: u64 = 500;
/// Maximum number of idle connections to the store.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Identifier of a store lease.
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
    /// Deserializes the JSON value; returns `None` if it is not valid JSON for `T`.
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

/// All keys with a prefix, read page by page and so not from one snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The entries.
    pub entries: Vec<Entry>,
    /// Revision of the store at the first page. A watch from the next revision misses no change.
    pub revision: u64,
}

/// State of the key that a compare-and-swap expects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// The key does not exist.
    Absent,
    /// The key was last changed at this revision.
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
    /// The change was applied at this revision.
    Applied(u64),
    /// The expectation did not hold. Contains the current entry, if the key exists.
    Conflict(Option<Entry>),
}

/// Client of the platform's store; clones share connections and the call counter.
#[derive(Debug, Clone)]
pub struct Store {
    client: HttpClient,
    address: SocketAddr,
    timeout: Duration,
    calls: Arc<AtomicU64>,
}

impl Store {
    /// Creates a client of the store at `address`; each call times out after `timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let client = HttpClient::new(timeout, MAX_IDLE_CONNECTIONS);
        Self {
            client,
            address,
            timeout,
            calls: Arc::default(),
        }
    }

    /// Returns the number of calls made; a watch counts as one call.
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
        let response = self
            .client
            .json(Method::POST, self.address, path, Some(body), self.timeout)
            .await?;
        if !response.status.is_success() {
            return Err(StoreError::Status(response.status.as_u16()));
        }
        Ok(response.read()?)
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the call fails.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let request = RangeRequest {
            key: key.into(),
            ..RangeRequest::default()
        };
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
        Ok(response.kvs.into_iter().next().map(Entry::from_wire))
    }

    /// Reads all keys that start with `prefix`, page by page.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the call fails.
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
                limit: Long(PAGE_SIZE),
            };
            let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
            if listing.revision == 0 {
                listing.revision = response.header.revision.0;
            }
            from = match response.kvs.last() {
                Some(last) => Blob([last.key.0.as_slice(), &[0]].concat()),
                None => return Ok(listing),
            };
            listing
                .entries
                .extend(response.kvs.into_iter().map(Entry::from_wire));
            if !response.more {
                return Ok(listing);
            }
        }
    }

    /// Writes a key if its state is as expected.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`], whose verdict says whether the write may have
    /// taken effect.
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

    /// Deletes a key if its state is as expected.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the call fails.
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
        let response: TxnResponse = self.call("/v3/kv/txn", &request).await?;
        if response.succeeded {
            return Ok(Swap::Applied(response.header.revision.0));
        }
        let found = response
            .responses
            .into_iter()
            .find_map(|r| r.response_range);
        let found = found.and_then(|range| range.kvs.into_iter().next());
        Ok(Swap::Conflict(found.map(Entry::from_wire)))
    }

    /// Creates a lease with a time to live of `ttl`, rounded down to whole seconds.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the call fails.
    pub async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let request = LeaseMessage {
            ttl: Long(ttl.as_secs()),
            ..LeaseMessage::default()
        };
        let response: LeaseMessage = self.call("/v3/lease/grant", &request).await?;
        Ok(LeaseId(response.id.0))
    }

    /// Renews a lease; returns `false` if it has expired.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the call fails.
    pub async fn keep_alive(&self, lease: LeaseId) -> Result<bool, StoreError> {
        let request = LeaseMessage {
            id: Long(lease.0),
            ..LeaseMessage::default()
        };
        let response: KeepAliveResponse = self.call("/v3/lease/keepalive", &request).await?;
        Ok(response.result.ttl.0 > 0)
    }

    /// Revokes a lease, which deletes the keys attached to it.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the call fails.
    pub async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        let request = LeaseMessage {
            id: Long(lease.0),
            ..LeaseMessage::default()
        };
        let _: serde_json::Value = self.call("/v3/lease/revoke", &request).await?;
        Ok(())
    }

    /// Watches `key`, or all keys that start with it if `whole_prefix` is set, from
    /// `start_revision` on.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the watch cannot be opened.
    pub async fn watch(
        &self,
        key: &str,
        whole_prefix: bool,
        start_revision: u64,
    ) -> Result<Watch, StoreError> {
        Watch::open(self, key, whole_prefix, start_revision).await
    }
}

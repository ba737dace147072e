//! JSON messages of the etcd v3 interface, restricted to the fields in use.
//!
//! Field names and encodings are those of the published interface: keys and
//! values are base64, 64-bit numbers are strings.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

/// Bytes, encoded as base64.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Blob(pub Vec<u8>);

impl Serialize for Blob {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD
            .decode(text)
            .map(Self)
            .map_err(serde::de::Error::custom)
    }
}

impl From<&str> for Blob {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }
}

/// A 64-bit number, encoded as a string; a JSON number is accepted too.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Long(pub u64);

impl Serialize for Long {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Long {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Encoding {
            Text(String),
            Number(u64),
        }
        match Encoding::deserialize(deserializer)? {
            Encoding::Text(text) => text.parse().map(Self).map_err(serde::de::Error::custom),
            Encoding::Number(number) => Ok(Self(number)),
        }
    }
}

/// Header of every response.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// The store's revision.
    pub revision: Long,
}

/// A key and its value.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// Key.
    pub key: Blob,
    /// Value.
    pub value: Blob,
    /// Revision of the last change.
    pub mod_revision: Long,
    /// Revision at which the key was created.
    pub create_revision: Long,
    /// Lease that the key is attached to; zero for none.
    pub lease: Long,
}

/// Request of `/v3/kv/range`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    pub key: Blob,
    /// End of the range, exclusive; empty for a single key.
    pub range_end: Blob,
    /// Maximum number of keys to return; zero for no limit.
    pub limit: Long,
}

/// Response of `/v3/kv/range`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Response header.
    pub header: Header,
    /// Keys and values.
    pub kvs: Vec<KeyValue>,
    /// Whether the limit truncated the range.
    pub more: bool,
}

/// One condition of a transaction: the key's last change has this revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// Always `EQUAL`.
    pub result: String,
    /// Always `MOD`.
    pub target: String,
    /// Key.
    pub key: Blob,
    /// Expected revision; zero if the key must not exist.
    pub mod_revision: Long,
}

/// Write of a key in a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// Key.
    pub key: Blob,
    /// Value.
    pub value: Blob,
    /// Lease that the key is attached to; zero for none.
    pub lease: Long,
}

/// Deletion of a key in a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRequest {
    /// Key.
    pub key: Blob,
}

/// One operation of a transaction; exactly one field is set.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// Write.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// Delete.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteRequest>,
    /// Read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
}

/// Request of `/v3/kv/txn`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions.
    pub compare: Vec<Compare>,
    /// Operations that run if all conditions hold.
    pub success: Vec<RequestOp>,
    /// Operations that run otherwise.
    pub failure: Vec<RequestOp>,
}

/// Outcome of one operation; only that of a read is used.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseOp {
    /// Read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// Response of `/v3/kv/txn`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Response header.
    pub header: Header,
    /// Whether all conditions held.
    pub succeeded: bool,
    /// Outcome of each operation.
    pub responses: Vec<ResponseOp>,
}

/// Request of `/v3/lease/grant`, `/v3/lease/keepalive` and `/v3/lease/revoke`, and response of
/// `/v3/lease/grant`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseMessage {
    /// Lease.
    #[serde(rename = "ID")]
    pub id: Long,
    /// Time to live, in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Long,
}

/// Response of `/v3/lease/keepalive`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeepAliveResponse {
    /// The lease; a time to live of zero means that it has expired.
    pub result: LeaseMessage,
}

/// Request of `/v3/watch`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// Range and start of the watch.
    pub create_request: WatchCreate,
}

/// Range and start revision of a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key.
    pub key: Blob,
    /// End of the range, exclusive; empty for a single key.
    pub range_end: Blob,
    /// First revision to report.
    pub start_revision: Long,
}

/// Type of an event; the interface's JSON omits it for writes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EventType {
    /// The key was written.
    #[default]
    #[serde(rename = "PUT")]
    Put,
    /// The key was deleted or its lease expired.
    #[serde(rename = "DELETE")]
    Delete,
}

/// One event of a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    /// Type of the event.
    #[serde(rename = "type")]
    pub kind: EventType,
    /// The key and its value after the event.
    pub kv: KeyValue,
}

/// One line of the streamed response of `/v3/watch`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchLine {
    /// Content of the line.
    pub result: WatchResult,
}

/// Content of a line of a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResult {
    /// Response header.
    pub header: Header,
    /// Whether this line confirms that the watch was created.
    pub created: bool,
    /// Events in order.
    pub events: Vec<WatchEvent>,
}

/// Returns the exclusive end of the range of all keys that start with `prefix`; a single zero
/// byte, which stands for no end, if no key sorts after all of them.
#[must_use]
pub fn prefix_end(prefix: &str) -> Blob {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return Blob(end);
        }
    }
    Blob(vec![0])
}

//! Messages of the etcd v3 interface in JSON, as far as they are used.
//!
//! Field names are those of the published interface: keys and values are
//! base64, 64-bit numbers are strings.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

/// Bytes as base64.
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

/// A 64-bit number as a string; a bare number is taken too.
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
        enum Form {
            Text(String),
            Number(u64),
        }
        match Form::deserialize(deserializer)? {
            Form::Text(text) => text.parse().map(Self).map_err(serde::de::Error::custom),
            Form::Number(number) => Ok(Self(number)),
        }
    }
}

/// Head of each answer.
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
    /// Revision of the creation.
    pub create_revision: Long,
    /// Lease, zero for none.
    pub lease: Long,
}

/// `/v3/kv/range`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    pub key: Blob,
    /// End of the range; empty for one key.
    pub range_end: Blob,
    /// Most keys to return; zero for all.
    pub limit: Long,
}

/// Answer of `/v3/kv/range`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Head.
    pub header: Header,
    /// Keys and values.
    pub kvs: Vec<KeyValue>,
    /// Whether the limit cut the range.
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
    /// Revision; zero where the key must not exist.
    pub mod_revision: Long,
}

/// Writes a key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// Key.
    pub key: Blob,
    /// Value.
    pub value: Blob,
    /// Lease, zero for none.
    pub lease: Long,
}

/// Deletes a key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRequest {
    /// Key.
    pub key: Blob,
}

/// One step of a transaction; exactly one field is set.
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

/// `/v3/kv/txn`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions.
    pub compare: Vec<Compare>,
    /// Done where all conditions hold.
    pub success: Vec<RequestOp>,
    /// Done otherwise.
    pub failure: Vec<RequestOp>,
}

/// Outcome of one step; only reads carry one that is used.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseOp {
    /// Read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// Answer of `/v3/kv/txn`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Head.
    pub header: Header,
    /// Whether all conditions held.
    pub succeeded: bool,
    /// Outcome of each step.
    pub responses: Vec<ResponseOp>,
}

/// `/v3/lease/grant`, `/v3/lease/keepalive`, `/v3/lease/revoke` and their answers.
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

/// Answer of `/v3/lease/keepalive`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeepAliveResponse {
    /// The lease; a time to live of zero says that it is gone.
    pub result: LeaseMessage,
}

/// `/v3/watch`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: WatchCreate,
}

/// What to watch, and from when.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key.
    pub key: Blob,
    /// End of the range; empty for one key.
    pub range_end: Blob,
    /// First revision to tell.
    pub start_revision: Long,
}

/// Kind of event; writes carry no name in the interface's JSON.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EventType {
    /// Written.
    #[default]
    #[serde(rename = "PUT")]
    Put,
    /// Deleted or expired.
    #[serde(rename = "DELETE")]
    Delete,
}

/// One event of a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    /// Kind.
    #[serde(rename = "type")]
    pub kind: EventType,
    /// The key after the event.
    pub kv: KeyValue,
}

/// One line of a watch's answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchLine {
    /// What it brings.
    pub result: WatchResult,
}

/// Content of one line.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResult {
    /// Head.
    pub header: Header,
    /// Whether this line says that the watch stands.
    pub created: bool,
    /// Events in order.
    pub events: Vec<WatchEvent>,
}

/// Returns the end of the range of all keys that start with `prefix`.
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

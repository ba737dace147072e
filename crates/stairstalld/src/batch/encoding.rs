//! Encodes values for the store: JSON, compressed with zlib if it is long.
//!
//! Progress is written at each change. For 80 running tasks it is 2 to 4 kB of JSON, and less than
//! a third of that compressed. Without compression, orders and reports would queue behind these
//! writes on a 2 Mbit/s link.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Values with shorter JSON than this many bytes are stored uncompressed: compression saves little,
/// and the values stay readable for people.
const MIN_COMPRESSED_LEN: usize = 400;
/// Longest decoded value in bytes, far above what a job of the largest size takes. Nothing else runs
/// in this process while a value is decoded, so a longer one would cost the planner its lease.
const MAX_DECODED_BYTES: u64 = 8 * 1024 * 1024;

quick_error! {
    /// A value that can't be encoded or decoded.
    #[derive(Debug)]
    pub enum EncodingError {
        /// The value is not the expected JSON.
        Json(error: serde_json::Error) {
            from()
            display("{error}")
        }
        /// The value can't be compressed or decompressed.
        Zlib(error: std::io::Error) {
            from()
            display("{error}")
        }
    }
}

/// Encodes a value for the store.
pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, EncodingError> {
    let json = serde_json::to_vec(value)?;
    if json.len() < MIN_COMPRESSED_LEN {
        return Ok(json);
    }
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&json)?;
    Ok(encoder.finish()?)
}

/// Decodes a stored value. JSON starts with a brace; a zlib stream never does.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, EncodingError> {
    if bytes.first() == Some(&b'{') {
        return Ok(serde_json::from_slice(bytes)?);
    }
    let mut json = Vec::new();
    ZlibDecoder::new(bytes)
        .take(MAX_DECODED_BYTES)
        .read_to_end(&mut json)?;
    Ok(serde_json::from_slice(&json)?)
}

#[cfg(test)]
mod tests;

//! How jobs and their progress stand in the store: JSON, deflated where it is long.
//!
//! Progress is written at each change. That of 80 running tasks is 2 to 4 kB of JSON, and less than
//! a third of it deflated; on a link of 2 Mbit/s orders and reports wait behind the difference.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Shorter values are kept as they are: little is saved, and people can read them.
const DEFLATED_FROM: usize = 400;
/// Longest value that is read, in bytes: far above the megabyte that the store takes.
const MAX_BYTES: u64 = 32 * 1024 * 1024;

quick_error! {
    /// A value that can't be kept or read.
    #[derive(Debug)]
    pub enum KeptError {
        /// It is not the JSON that was expected.
        Form(error: serde_json::Error) {
            from()
            display("{error}")
        }
        /// It can't be deflated or inflated.
        Deflate(error: std::io::Error) {
            from()
            display("{error}")
        }
    }
}

/// Returns a value as it is kept.
pub(crate) fn write<T: Serialize>(value: &T) -> Result<Vec<u8>, KeptError> {
    let json = serde_json::to_vec(value)?;
    if json.len() < DEFLATED_FROM {
        return Ok(json);
    }
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&json)?;
    Ok(encoder.finish()?)
}

/// Reads a value as it was kept; JSON begins with a brace, which nothing deflated does.
pub(crate) fn read<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, KeptError> {
    if bytes.first() == Some(&b'{') {
        return Ok(serde_json::from_slice(bytes)?);
    }
    let mut json = Vec::new();
    ZlibDecoder::new(bytes)
        .take(MAX_BYTES)
        .read_to_end(&mut json)?;
    Ok(serde_json::from_slice(&json)?)
}

#[cfg(test)]
mod tests;

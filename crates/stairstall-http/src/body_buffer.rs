//! Memory for a body that arrives in pieces.

use bytes::Bytes;

/// Capacity that the first bytes of a body get.
const FIRST_CAPACITY: usize = 1_024;

/// A body is longer than allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyTooLong;

/// Collects the pieces of a body in one allocation, whose size is known before it grows.
///
/// A list of the pieces would keep alive more memory than the body has bytes: each piece is a part of
/// the buffer that it was received into.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    limit: usize,
}

impl BodyBuffer {
    /// Creates a buffer for a body of at most `limit` bytes.
    #[must_use]
    pub const fn new(limit: usize) -> Self {
        Self {
            bytes: Vec::new(),
            limit,
        }
    }

    /// Returns by how many bytes the buffer has to grow for a piece of this length.
    ///
    /// # Errors
    ///
    /// Returns [`BodyTooLong`] if the body would be longer than allowed.
    pub fn growth_for(&self, piece: usize) -> Result<usize, BodyTooLong> {
        let needed = self.bytes.len().saturating_add(piece);
        if needed > self.limit {
            return Err(BodyTooLong);
        }
        if needed <= self.bytes.capacity() {
            return Ok(0);
        }
        let doubled = self.bytes.capacity().saturating_mul(2);
        let capacity = doubled.max(FIRST_CAPACITY).min(self.limit).max(needed);
        Ok(capacity - self.bytes.capacity())
    }

    /// Appends a piece, after growing by [`BodyBuffer::growth_for`] its length.
    ///
    /// # Errors
    ///
    /// Returns [`BodyTooLong`] if the body would be longer than allowed.
    pub fn push(&mut self, piece: &[u8]) -> Result<(), BodyTooLong> {
        let growth = self.growth_for(piece.len())?;
        if growth > 0 {
            let capacity = self.bytes.capacity() + growth;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Returns the collected body.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        Bytes::from(self.bytes)
    }
}

use std::fmt;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Maximum number of members of a gang.
pub const MAX_MEMBERS: u16 = 64;
/// Maximum number of accelerators of one worker, and so of one member.
pub const MAX_ACCELERATORS: u8 = 64;

quick_error! {
    /// Reason why a shape is invalid.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum ShapeError {
        /// The number of members is out of bounds.
        Members(found: u16) {
            display("shape.members is from 1 to {MAX_MEMBERS}, not {found}")
        }
        /// A member needs more accelerators than a worker can have.
        Accelerators(found: u8) {
            display("shape.accelerators is from 0 to {MAX_ACCELERATORS}, not {found}")
        }
        /// The members need neither accelerators nor processors.
        Empty {
            display("shape asks for neither accelerators nor processors")
        }
    }
}

/// Size of a gang: the number of members, and the resources that each needs on one worker.
///
/// # Examples
///
/// ```
/// use stairstall_core::placement::Shape;
///
/// let shape = Shape::new(4, 8).with_processors(16).adjacent();
/// assert_eq!(shape.total_accelerators(), 32);
/// assert!(shape.check().is_ok());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Number of members.
    pub members: u16,
    /// Accelerators of each member.
    pub accelerators: u8,
    /// Processors of each member.
    #[serde(default)]
    pub processors: u16,
    /// Memory of each member, in megabytes.
    #[serde(default)]
    pub memory_mb: u32,
    /// Whether the members must be on adjacent workers. They stay within one rack unless the
    /// gang needs more workers than any rack has.
    #[serde(default)]
    pub adjacent: bool,
}

impl Shape {
    /// Creates a shape of `members` with `accelerators` each.
    #[must_use]
    pub const fn new(members: u16, accelerators: u8) -> Self {
        Self {
            members,
            accelerators,
            processors: 0,
            memory_mb: 0,
            adjacent: false,
        }
    }

    /// Sets the processors of each member.
    #[must_use]
    pub const fn with_processors(mut self, processors: u16) -> Self {
        self.processors = processors;
        self
    }

    /// Sets the memory of each member, in megabytes.
    #[must_use]
    pub const fn with_memory_mb(mut self, memory_mb: u32) -> Self {
        self.memory_mb = memory_mb;
        self
    }

    /// Requires adjacent workers.
    #[must_use]
    pub const fn adjacent(mut self) -> Self {
        self.adjacent = true;
        self
    }

    /// Returns the accelerators of all members.
    #[must_use]
    pub fn total_accelerators(&self) -> u32 {
        u32::from(self.members) * u32::from(self.accelerators)
    }

    /// Tells whether a gang of this shape needs no more members than one of shape `other`, and no
    /// more resources for each. Adjacency is not compared.
    #[must_use]
    pub const fn fits_in(&self, other: &Self) -> bool {
        self.members <= other.members
            && self.accelerators <= other.accelerators
            && self.processors <= other.processors
            && self.memory_mb <= other.memory_mb
    }

    /// Checks the bounds.
    ///
    /// # Errors
    ///
    /// Returns an error for the first field that is out of bounds.
    pub const fn check(&self) -> Result<(), ShapeError> {
        if self.members == 0 || self.members > MAX_MEMBERS {
            return Err(ShapeError::Members(self.members));
        }
        if self.accelerators > MAX_ACCELERATORS {
            return Err(ShapeError::Accelerators(self.accelerators));
        }
        if self.accelerators == 0 && self.processors == 0 {
            return Err(ShapeError::Empty);
        }
        Ok(())
    }
}

impl fmt::Display for Shape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let adjacent = if self.adjacent { " adjacent" } else { "" };
        write!(f, "{}x{}{adjacent}", self.members, self.accelerators)
    }
}

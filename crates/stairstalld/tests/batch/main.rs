//! Batch daemons as processes against a stand-in of the users' platform.

mod accepted;
mod admission;
mod catalog;
mod cluster;
mod contacts;
mod directory;
mod dropped_calls;
mod evacuation;
mod explain;
mod faults;
mod last_ends;
mod learnt;
mod leaving;
mod lookups;
mod path;
mod policy;
mod reach;
mod relief;
mod restarts;
mod silent_watches;
mod soak;
mod unreadable_entries;
mod versions;
mod writes;

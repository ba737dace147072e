//! Clients that send requests without end, or stop just short of their end and stay: each daemon
//! lives, keeps within the memory and open files of its VM, and answers an ordinary request afterwards.
//!
//! A program of its own; its tests run one at a time.

#[path = "../batch/cluster.rs"]
mod cluster;
mod crowd;
mod process;
mod unfinished_requests;

//! Tests of the configuration follower with virtual time.

mod following;
mod snapshots;
mod support;

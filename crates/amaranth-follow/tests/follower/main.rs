//! Tests of the configuration follower on virtual time.

mod following;
mod snapshots;
mod support;

//! The tarpc services between the processes of amaranthfield, and their transport.
//!
//! Answers are pulled: a reader requests the chunks from a sequence on, which acknowledges all
//! earlier chunks, and the agent replies as soon as there is a chunk or the wait is over. An empty
//! reply is the heartbeat of an open answer.

pub mod agent;
pub mod answers;
pub mod codec;
pub mod engine_agent;
pub mod entry;
pub mod transport;

/// Largest frame that a process accepts from a peer, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

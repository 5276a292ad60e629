//! Hashes that are stable across processes and releases.

use xxhash_rust::xxh3::{xxh3_64_with_seed, xxh3_128};

/// Returns the 64-bit hash of `bytes` under `seed`.
///
/// The hash is the same in every process and release, so it may be stored and sent.
pub fn hash64(seed: u64, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}

/// Returns the 128-bit digest that identifies a request body.
pub fn body_digest(bytes: &[u8]) -> u128 {
    xxh3_128(bytes)
}

//! Sizes beyond which a set of entries is refused.

/// Most base models.
pub const MAX_MODELS: usize = 256;

/// Most entries of all kinds.
pub const MAX_ENTRIES: usize =
    MAX_MODELS + MAX_ADAPTERS + MAX_RULES + MAX_SERVICES + MAX_ENDPOINT_GROUPS + 2;

/// Largest sum of all entries as records carry them, in bytes.
pub const MAX_CATALOGUE_BYTES: usize = 24 << 20;

/// Largest entry as records carry it, in bytes.
pub const MAX_ENTRY_BYTES: usize = 16 << 10;

/// Most adapters.
pub const MAX_ADAPTERS: usize = 150_000;

/// Most rules.
pub const MAX_RULES: usize = 20_000;

/// Most rules for one model, and most rules with one target.
pub const MAX_RULES_PER_NAME: usize = 1_024;

/// Most plain services.
pub const MAX_SERVICES: usize = 1_024;

/// Most groups of endpoints.
pub const MAX_ENDPOINT_GROUPS: usize = 1_024;

/// Most rules that one request may pass one after the other.
pub const MAX_ALIAS_DEPTH: usize = 8;

/// Longest path of a service, in bytes.
pub(super) const MAX_PATH_BYTES: usize = 256;

/// First segments of paths that callers reach the system itself by.
pub(super) const RESERVED_SEGMENTS: [&str; 1] = ["v1"];

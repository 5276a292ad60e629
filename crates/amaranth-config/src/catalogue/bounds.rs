//! Limits on the size of a catalogue.

/// Maximum number of base models.
pub const MAX_MODELS: usize = 256;

/// Maximum number of entries of all kinds.
pub const MAX_ENTRIES: usize =
    MAX_MODELS + MAX_ADAPTERS + MAX_RULES + MAX_SERVICES + MAX_ENDPOINT_GROUPS + 2;

/// Maximum total size of all entries in their record encoding, in bytes.
pub const MAX_CATALOGUE_BYTES: usize = 24 << 20;

/// Maximum size of one entry in its record encoding, in bytes.
pub const MAX_ENTRY_BYTES: usize = 16 << 10;

/// Maximum number of adapters.
pub const MAX_ADAPTERS: usize = 150_000;

/// Maximum number of rules.
pub const MAX_RULES: usize = 20_000;

/// Maximum number of rules for one model, and of rules with the same target.
pub const MAX_RULES_PER_NAME: usize = 1_024;

/// Maximum number of plain services.
pub const MAX_SERVICES: usize = 1_024;

/// Maximum number of endpoint groups.
pub const MAX_ENDPOINT_GROUPS: usize = 1_024;

/// Maximum number of rules that are applied to one request in sequence.
pub const MAX_ALIAS_DEPTH: usize = 8;

/// Maximum length of a service's path, in bytes.
pub(super) const MAX_PATH_BYTES: usize = 256;

/// First path segments that are reserved for the system's own API.
pub(super) const RESERVED_SEGMENTS: [&str; 1] = ["v1"];

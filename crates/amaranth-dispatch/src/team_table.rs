//! The teams of a configuration, indexed by their API keys.
//!
//! The table holds no key, only keyed digests. Each process draws its own digest key, so a digest
//! is of no use outside the process, and callers can't choose keys whose digests collide.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::LazyLock;

use amaranth_core::ids::TeamName;

use crate::teams::TeamRule;

/// The key of the digests that a process computes of API keys.
#[derive(Clone, Copy)]
pub struct DigestKey([u8; blake3::KEY_LEN]);

impl DigestKey {
    /// Creates a digest key from random bytes.
    pub const fn new(bytes: [u8; blake3::KEY_LEN]) -> Self {
        Self(bytes)
    }

    /// Returns the digest of an API key.
    pub fn digest(&self, api_key: &str) -> KeyDigest {
        KeyDigest(blake3::keyed_hash(&self.0, api_key.as_bytes()))
    }
}

impl fmt::Debug for DigestKey {
    /// Formats the type only: with the key, digests could be computed elsewhere.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("DigestKey")
    }
}

/// The digest of an API key, which only the process that computed it can compare with a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest(blake3::Hash);

impl fmt::Debug for KeyDigest {
    /// Formats the type only, so that no digest gets into logs.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest")
    }
}

/// Returns the digest key of this process, drawn at the first use.
fn process_key() -> DigestKey {
    static KEY: LazyLock<DigestKey> = LazyLock::new(|| DigestKey::new(rand::random()));
    *KEY
}

/// A conflict between the teams of a configuration. The rest of the configuration is in force.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TeamConflict {
    /// Two items have one name.
    #[error(
        "team {team} is configured more than once; the first item's priority and quota apply, and the keys of all"
    )]
    RepeatedName {
        /// The name.
        team: TeamName,
    },
    /// Two teams have one key.
    #[error("teams {holder} and {team} have a key in common, which stands for {holder}")]
    SharedKey {
        /// The team that is configured first, for which the key stands.
        holder: TeamName,
        /// The other team.
        team: TeamName,
    },
    /// A team has an empty key.
    #[error("team {team} has an empty key, which no call can carry")]
    EmptyKey {
        /// The name of the team.
        team: TeamName,
    },
}

/// The position of a team in the table.
type TeamIndex = u32;

/// The teams of one configuration.
pub struct TeamTable {
    digest_key: DigestKey,
    teams: Vec<TeamRule>,
    by_name: HashMap<TeamName, TeamIndex>,
    by_key: HashMap<KeyDigest, TeamIndex>,
    conflicts: Vec<TeamConflict>,
}

impl TeamTable {
    /// Creates a table, in which a key is found by its digest under a key drawn per process.
    ///
    /// Of two items with one name, the first states priority and quota, and the keys of both stand
    /// for the team. A key of two teams stands for the one that is configured first. Empty keys are
    /// left out.
    pub fn new(rules: Vec<TeamRule>) -> Self {
        Self::with_digest_key(rules, process_key())
    }

    /// Creates a table whose digests have a given key.
    pub fn with_digest_key(rules: Vec<TeamRule>, digest_key: DigestKey) -> Self {
        let keys = rules.iter().map(|rule| rule.keys.len()).sum();
        let mut table = Self {
            digest_key,
            teams: Vec::with_capacity(rules.len()),
            by_name: HashMap::with_capacity(rules.len()),
            by_key: HashMap::with_capacity(keys),
            conflicts: Vec::new(),
        };
        let mut reported = HashSet::new();
        for rule in rules {
            table.insert(rule, &mut reported);
        }
        table
    }

    fn insert(&mut self, mut rule: TeamRule, reported: &mut HashSet<(TeamIndex, TeamIndex)>) {
        let team = rule.name.clone();
        let keys = std::mem::take(&mut rule.keys);
        let index = match self.by_name.get(&team) {
            Some(index) => {
                let conflict = TeamConflict::RepeatedName { team: team.clone() };
                self.conflicts.push(conflict);
                *index
            }
            None => {
                let index = TeamIndex::try_from(self.teams.len()).unwrap_or(TeamIndex::MAX);
                self.by_name.insert(team.clone(), index);
                self.teams.push(rule);
                index
            }
        };
        let mut has_empty_key = false;
        for api_key in &keys {
            if api_key.is_empty() {
                has_empty_key = true;
                continue;
            }
            let digest = self.digest_key.digest(api_key);
            let holder = *self.by_key.entry(digest).or_insert(index);
            if holder != index && reported.insert((holder, index)) {
                let holder = self.teams[holder as usize].name.clone();
                let team = team.clone();
                self.conflicts
                    .push(TeamConflict::SharedKey { holder, team });
            }
        }
        if has_empty_key {
            self.conflicts.push(TeamConflict::EmptyKey { team });
        }
    }

    /// Returns the team that a key stands for. Its rule holds no keys.
    pub fn authenticate(&self, api_key: &str) -> Option<&TeamRule> {
        self.find(&self.digest(api_key))
    }

    /// Returns the digest under which a key is found in this table and in every other one with the
    /// same digest key.
    pub fn digest(&self, api_key: &str) -> KeyDigest {
        self.digest_key.digest(api_key)
    }

    /// Returns the team that the key with a digest stands for. Its rule holds no keys.
    pub fn find(&self, digest: &KeyDigest) -> Option<&TeamRule> {
        self.teams.get(*self.by_key.get(digest)? as usize)
    }

    /// Returns the team of a name. Its rule holds no keys.
    pub fn team(&self, name: &TeamName) -> Option<&TeamRule> {
        self.teams.get(*self.by_name.get(name)? as usize)
    }

    /// Returns the conflicts in the configuration, which name teams and never a key.
    pub fn conflicts(&self) -> &[TeamConflict] {
        &self.conflicts
    }

    /// Returns the number of teams.
    pub const fn team_count(&self) -> usize {
        self.teams.len()
    }

    /// Returns the number of different keys.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }
}

impl fmt::Debug for TeamTable {
    /// Formats the sizes of the table, without digests.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("TeamTable")
            .field("teams", &self.team_count())
            .field("keys", &self.key_count())
            .field("conflicts", &self.conflicts)
            .finish()
    }
}

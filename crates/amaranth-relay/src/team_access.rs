//! The check of callers' API keys.

use amaranth_core::ids::TeamName;
use amaranth_dispatch::refusal::{Refusal, RefusalCause};
use amaranth_dispatch::routes::{RouteRule, RouteTable};
use amaranth_dispatch::team_table::KeyDigest;
use http::HeaderMap;
use http::header::AUTHORIZATION;

use crate::endpoint_selection::UNCONFIGURED_RETRY_AFTER;
use crate::entry::EntryCore;
use crate::routed_call::CallerIdentity;

/// What a call may do by the configuration by which it was routed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallAccess {
    /// The configuration has no teams; credentials are forwarded.
    WithoutTeams,
    /// The route needs no API key; credentials are removed.
    Public,
    /// The call carries a key of a team; credentials are removed.
    Team(KeyDigest),
}

/// The caller of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// The team, if the call needs an API key.
    pub team: Option<TeamName>,
    /// The result of the check.
    pub access: CallAccess,
}

/// Checks the API key of a call against the configuration, and removes the credentials from the
/// headers if the configuration has teams.
///
/// # Errors
///
/// Returns a refusal if the call needs a key and carries none that is known.
pub fn check(
    core: &EntryCore,
    table: &RouteTable,
    route: &RouteRule,
    headers: &mut HeaderMap,
) -> Result<Caller, Refusal> {
    let Some(teams) = table.teams() else {
        return Ok(Caller {
            team: None,
            access: CallAccess::WithoutTeams,
        });
    };
    let digest = core.codec.api_key(headers).map(|key| teams.digest(key));
    headers.remove(AUTHORIZATION);
    if route.is_public {
        return Ok(Caller {
            team: None,
            access: CallAccess::Public,
        });
    }
    let Some(digest) = digest else {
        return Err(Refusal::new(RefusalCause::UnknownKey));
    };
    match teams.find(&digest) {
        Some(team) => Ok(Caller {
            team: Some(team.name.clone()),
            access: CallAccess::Team(digest),
        }),
        None => Err(unknown_key(core)),
    }
}

/// Returns the rank of a call: that of its team if the team has one, or else that of its route.
pub fn priority(table: &RouteTable, team: Option<&TeamName>, route: &RouteRule) -> u8 {
    let team = team.and_then(|team| table.team(team));
    team.and_then(|team| team.priority)
        .unwrap_or(route.priority)
}

/// Returns the refusal of a call whose key is not known. The key may be new if the configuration is
/// older than its bound.
fn unknown_key(core: &EntryCore) -> Refusal {
    let age = core.state().config_freshness.age(core.now());
    if age.is_some_and(|age| age <= core.options.config_bound) {
        return Refusal::new(RefusalCause::UnknownKey);
    }
    Refusal::with_retry_after(RefusalCause::StaleConfig, UNCONFIGURED_RETRY_AFTER)
}

impl CallAccess {
    /// Returns whether the caller's credentials are kept from endpoints.
    pub const fn removes_credentials(self) -> bool {
        !matches!(self, Self::WithoutTeams)
    }

    /// Returns what tells the caller apart in the digest of a request.
    pub const fn identity(self, team: Option<&TeamName>) -> CallerIdentity<'_> {
        match self {
            Self::WithoutTeams => CallerIdentity::Credentials,
            Self::Public | Self::Team(_) => CallerIdentity::Team(team),
        }
    }

    /// Checks again, before a call is sent, that its key was not removed while the call waited. A key
    /// that moved to another team still stands for the team that it had when the call arrived.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the configuration in force has teams of which none has the key.
    pub fn recheck(self, core: &EntryCore) -> Result<(), Refusal> {
        let Self::Team(digest) = self else {
            return Ok(());
        };
        let table = core.table();
        let teams = table.as_ref().and_then(|table| table.teams());
        if teams.is_none_or(|teams| teams.find(&digest).is_some()) {
            return Ok(());
        }
        Err(Refusal::new(RefusalCause::UnknownKey))
    }
}

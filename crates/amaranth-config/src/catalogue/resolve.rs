//! Resolution of the model or path of a request.

use std::borrow::Cow;

use amaranth_core::errors::{Result, not_found};
use amaranth_core::ids::{AdapterRef, AdapterVersion, CallerId, ConfigRevision, RuleName};
use amaranth_core::request::{ModelTarget, RequestPriority};

use super::{Catalogue, MAX_ALIAS_DEPTH};
use crate::entries::{RuleEntry, ServiceEntry};

/// The resolved target of one caller's requests for one model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResolvedModel {
    /// The base model or the exact adapter version.
    pub target: ModelTarget,
    /// The first rule that was applied, if any.
    pub rule: Option<RuleName>,
    /// The priority of the request.
    pub priority: RequestPriority,
    /// The revision of the catalogue that resolved the model.
    pub revision: ConfigRevision,
}

/// The service that a path resolves to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResolvedService<'a> {
    /// The entry of the service.
    pub service: &'a ServiceEntry,
    /// The path relative to the service's path, with a leading slash.
    pub path: Cow<'a, str>,
}

impl ResolvedService<'_> {
    /// Returns whether a call of this path with `method` may be repeated.
    pub fn is_repeatable(&self, method: &str) -> bool {
        self.service.is_repeatable(method, &self.path)
    }
}

impl Catalogue {
    /// Returns the target of requests of `caller` for `model`.
    ///
    /// `model` is the model of a rule, `adapter`, `adapter@version` or a base model. An adapter
    /// without a version resolves to its current version.
    ///
    /// # Errors
    ///
    /// Returns an error when `model` does not exist, or when no rule for it admits the caller.
    pub fn resolve_model(&self, model: &str, caller: &CallerId) -> Result<ResolvedModel> {
        let mut requested = Cow::Borrowed(model);
        let mut first: Option<&RuleEntry> = None;
        for _ in 0..=MAX_ALIAS_DEPTH {
            let Some(alias) = self.aliases.get(&requested) else {
                return self.resolve_name(&requested, first);
            };
            let target = alias
                .rules
                .iter()
                .filter(|rule| rule.admits(caller))
                .find_map(|rule| Some((rule, rule.target_for(caller)?)));
            let Some((rule, target)) = target else {
                return Err(not_found(format!(
                    "no rule for model {requested:?} admits caller {caller:?}",
                    caller = caller.as_str()
                )));
            };
            first.get_or_insert(rule);
            requested = target.name.for_caller(caller).into_owned().into();
        }
        Err(not_found(format!(
            "model {model:?} passes through more than {MAX_ALIAS_DEPTH} rules"
        )))
    }

    /// Returns the target that `name` itself refers to, without applying rules.
    fn resolve_name(&self, name: &str, rule: Option<&RuleEntry>) -> Result<ResolvedModel> {
        let target = self
            .find_target(name)
            .ok_or_else(|| self.unknown_name(name, rule))?;
        Ok(ResolvedModel {
            target,
            rule: rule.map(|rule| rule.name.clone()),
            priority: rule.map_or_else(RequestPriority::default, |rule| rule.priority),
            revision: self.revision,
        })
    }

    fn find_target(&self, name: &str) -> Option<ModelTarget> {
        let (name, version) = match name.split_once('@') {
            Some((name, version)) => (name, Some(version.parse::<AdapterVersion>().ok()?)),
            None => (name, None),
        };
        if let Some(versioned) = self.adapters.get(name) {
            let version = version.unwrap_or(versioned.entry.current);
            let adapter = AdapterRef {
                name: versioned.entry.name.clone(),
                version,
            };
            let base = versioned.entry.base.clone();
            let listed = versioned.entry.versions.contains(&version);
            return listed.then_some(ModelTarget::Adapter { base, adapter });
        }
        let model = self.models.get(name)?;
        version
            .is_none()
            .then(|| ModelTarget::Base(model.entry.name.clone()))
    }

    fn unknown_name(&self, name: &str, rule: Option<&RuleEntry>) -> amaranth_core::Error {
        let revision = self.revision;
        match rule {
            Some(rule) => not_found(format!(
                "rule {:?} has target {name:?}, which does not exist at revision {revision}",
                rule.name.as_str()
            )),
            None => not_found(format!(
                "model {name:?} does not exist at revision {revision}"
            )),
        }
    }

    /// Returns the service whose path is the longest prefix of `path` by whole segments.
    pub fn service_for_path<'a>(&'a self, path: &'a str) -> Option<ResolvedService<'a>> {
        let path_only = path.split('?').next().unwrap_or_default();
        let mut end = path_only.len();
        loop {
            let prefix = &path_only[..end];
            if let Some(found) = self.service_paths.get(prefix) {
                let versioned = self.services.get(found.service.as_str())?;
                let rest = &path[end..];
                let path = match rest.starts_with('/') {
                    true => Cow::Borrowed(rest),
                    false => Cow::Owned(format!("/{rest}")),
                };
                return Some(ResolvedService {
                    service: &versioned.entry,
                    path,
                });
            }
            end = prefix.rfind('/')?;
        }
    }
}

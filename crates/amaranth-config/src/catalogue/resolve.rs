//! What a request runs on.

use std::borrow::Cow;

use amaranth_core::errors::{Result, not_found};
use amaranth_core::ids::{AdapterRef, AdapterVersion, CallerId, ConfigRevision, RuleName};
use amaranth_core::request::{ModelTarget, RequestPriority};

use super::{Catalogue, MAX_ALIAS_DEPTH};
use crate::entries::{RuleEntry, ServiceEntry};

/// What the request of one caller for one model runs on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResolvedModel {
    /// The base model or the exact adapter version.
    pub target: ModelTarget,
    /// The first rule that had a say.
    pub rule: Option<RuleName>,
    /// How urgent the request is.
    pub priority: RequestPriority,
    /// The revision by which this was resolved.
    pub revision: ConfigRevision,
}

/// The service that a path leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResolvedService<'a> {
    /// The service.
    pub service: &'a ServiceEntry,
    /// The rest of the path, which starts with a slash.
    pub path: Cow<'a, str>,
}

impl ResolvedService<'_> {
    /// Returns whether a call of this path with `method` may be repeated.
    pub fn is_repeatable(&self, method: &str) -> bool {
        self.service.is_repeatable(method, &self.path)
    }
}

impl Catalogue {
    /// Returns what a request of `caller` for `model` runs on.
    ///
    /// `model` is the model of a rule, `adapter`, `adapter@version` or a base model. An adapter
    /// without a version means its current one.
    ///
    /// # Errors
    ///
    /// Returns an error when nothing has that name, or when no rule for it admits the caller.
    pub fn resolve_model(&self, model: &str, caller: &CallerId) -> Result<ResolvedModel> {
        let mut wanted = Cow::Borrowed(model);
        let mut first: Option<&RuleEntry> = None;
        for _ in 0..=MAX_ALIAS_DEPTH {
            let Some(alias) = self.aliases.get(&wanted) else {
                return self.resolve_name(&wanted, first);
            };
            let target = alias
                .rules
                .iter()
                .filter(|rule| rule.admits(caller))
                .find_map(|rule| Some((rule, rule.target_for(caller)?)));
            let Some((rule, target)) = target else {
                return Err(not_found(format!(
                    "no rule for model {wanted:?} admits caller {caller:?}",
                    caller = caller.as_str()
                )));
            };
            first.get_or_insert(rule);
            wanted = target.name.for_caller(caller).into_owned().into();
        }
        Err(not_found(format!(
            "model {model:?} leads through more than {MAX_ALIAS_DEPTH} rules"
        )))
    }

    /// Returns what `name` itself runs on, whatever rules there are.
    fn resolve_name(&self, name: &str, rule: Option<&RuleEntry>) -> Result<ResolvedModel> {
        let target = self
            .target_named(name)
            .ok_or_else(|| self.unknown_name(name, rule))?;
        Ok(ResolvedModel {
            target,
            rule: rule.map(|rule| rule.name.clone()),
            priority: rule.map_or_else(RequestPriority::default, |rule| rule.priority),
            revision: self.revision,
        })
    }

    fn target_named(&self, name: &str) -> Option<ModelTarget> {
        let (name, version) = match name.split_once('@') {
            Some((name, version)) => (name, Some(version.parse::<AdapterVersion>().ok()?)),
            None => (name, None),
        };
        if let Some(slot) = self.adapters.get(name) {
            let version = version.unwrap_or(slot.entry.current);
            let adapter = AdapterRef {
                name: slot.entry.name.clone(),
                version,
            };
            let base = slot.entry.base.clone();
            let listed = slot.entry.versions.contains(&version);
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
                "rule {:?} leads to {name:?}, which does not exist at revision {revision}",
                rule.name.as_str()
            )),
            None => not_found(format!(
                "model {name:?} does not exist at revision {revision}"
            )),
        }
    }

    /// Returns the service whose path is the longest beginning of `path`.
    pub fn service_for_path<'a>(&'a self, path: &'a str) -> Option<ResolvedService<'a>> {
        let path_only = path.split('?').next().unwrap_or_default();
        let mut end = path_only.len();
        loop {
            let prefix = &path_only[..end];
            if let Some(found) = self.service_paths.get(prefix) {
                let slot = self.services.get(found.service.as_str())?;
                let rest = &path[end..];
                let path = match rest.starts_with('/') {
                    true => Cow::Borrowed(rest),
                    false => Cow::Owned(format!("/{rest}")),
                };
                return Some(ResolvedService {
                    service: &slot.entry,
                    path,
                });
            }
            end = prefix.rfind('/')?;
        }
    }
}

//! Chains of rules, in which the target of one rule is the model of the next.

use std::collections::BTreeMap;

use super::Catalogue;
use super::bounds::MAX_ALIAS_DEPTH;
use super::index::fixed_targets;
use super::problem::ProblemKind;
use crate::entries::RuleEntry;

/// Searches for chains of rules that form a cycle or are too long.
pub(super) struct ChainSearch<'a> {
    catalogue: &'a Catalogue,
    depths: BTreeMap<&'a str, usize>,
}

impl<'a> ChainSearch<'a> {
    pub(super) const fn new(catalogue: &'a Catalogue) -> Self {
        Self {
            catalogue,
            depths: BTreeMap::new(),
        }
    }

    /// Returns the first problem of the chains that contain `rule`.
    pub(super) fn find_problem(mut self, rule: &'a RuleEntry) -> Option<ProblemKind> {
        let mut path = Vec::new();
        let below = match self.depth_below(rule.model.as_str(), &mut path) {
            Ok(depth) => depth,
            Err(problem) => return Some(problem),
        };
        self.depths.clear();
        let above = self.depth_above(rule.model.as_str());
        let limit = MAX_ALIAS_DEPTH;
        (above + below > limit + 1).then_some(ProblemKind::TooDeep { limit })
    }

    /// Returns the number of rules on the longest chain that starts at `model`.
    fn depth_below(
        &mut self,
        model: &'a str,
        path: &mut Vec<&'a str>,
    ) -> Result<usize, ProblemKind> {
        if let Some(start) = path.iter().position(|visited| *visited == model) {
            let cycle = path[start..].iter().chain([&model]);
            return Err(ProblemKind::Cycle(
                cycle.map(|name| (*name).to_owned()).collect(),
            ));
        }
        if let Some(depth) = self.depths.get(model) {
            return Ok(*depth);
        }
        let Some(alias) = self.catalogue.aliases.get(model) else {
            return Ok(0);
        };
        if path.len() > MAX_ALIAS_DEPTH {
            let limit = MAX_ALIAS_DEPTH;
            return Err(ProblemKind::TooDeep { limit });
        }
        path.push(model);
        let mut deepest = 0;
        for name in alias.rules.iter().flat_map(|rule| fixed_targets(rule)) {
            deepest = deepest.max(self.depth_below(name, path)?);
        }
        path.pop();
        self.depths.insert(model, deepest + 1);
        Ok(deepest + 1)
    }

    /// Returns the number of rules on the longest chain that ends at `model`, including the rule
    /// for `model`.
    ///
    /// Callers make sure that `model` is not part of a cycle.
    fn depth_above(&mut self, model: &'a str) -> usize {
        if let Some(depth) = self.depths.get(model) {
            return *depth;
        }
        // Ends the recursion in a cycle above `model`, which the check of its own rules reports.
        self.depths.insert(model, 1);
        let users = self.catalogue.name_uses.get(model);
        let mut highest = 0;
        for rule in users.into_iter().flat_map(|uses| &uses.rules) {
            if let Some(versioned) = self.catalogue.rules.get(rule.as_str()) {
                highest = highest.max(self.depth_above(versioned.entry.model.as_str()));
            }
        }
        self.depths.insert(model, highest + 1);
        highest + 1
    }
}

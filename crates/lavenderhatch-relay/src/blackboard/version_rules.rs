//! Rules of the rollouts that this daemon has learnt of.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use arc_swap::ArcSwap;
use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::rollout::VersionRule;

type Rules = HashMap<String, Arc<KnownRule>>;

/// A rule, and when the leader of its rollout last confirmed it.
#[derive(Debug)]
pub struct KnownRule {
    /// The rule.
    pub rule: VersionRule,
    confirmed_at: AtomicU64,
}

impl KnownRule {
    /// Returns the time since the leader of the rollout has confirmed the rule.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.since(Timestamp(self.confirmed_at.load(Relaxed)))
    }
}

/// Rules of the rollouts that this daemon has learnt of, at most one for each service.
///
/// Written by every thread that learns of a rule: from the leader, from answers of other daemons,
/// and from the store. The greater identity wins, so the order of the writes does not matter.
#[derive(Debug, Default)]
pub struct VersionRules {
    rules: ArcSwap<Rules>,
    /// Whether a rollout runs. Spares requests the look-up.
    is_any_running: AtomicBool,
}

impl VersionRules {
    /// Learns a rule that was confirmed at a time. Returns whether it is in force.
    ///
    /// Once a rollout has ended, no rule of the same order replaces its last one.
    pub fn learn(&self, service: &str, rule: &VersionRule, confirmed_at: Timestamp) -> bool {
        let known = self.find(service);
        if let Some(known) = known.filter(|known| !is_replaced(&known.rule, rule)) {
            let is_in_force = known.rule.id == rule.id;
            if is_in_force {
                known.confirmed_at.fetch_max(confirmed_at.0, Relaxed);
            }
            return is_in_force;
        }
        let learnt = Arc::new(KnownRule {
            rule: rule.clone(),
            confirmed_at: AtomicU64::new(confirmed_at.0),
        });
        self.rules.rcu(|rules| {
            let mut rules = Rules::clone(rules);
            let known = rules.get(service);
            if known.is_none_or(|known| is_replaced(&known.rule, rule)) {
                rules.insert(service.to_owned(), Arc::clone(&learnt));
            }
            rules
        });
        let rules = self.rules.load();
        let is_running = |known: &Arc<KnownRule>| !known.rule.stage.is_final();
        self.is_any_running
            .store(rules.values().any(is_running), Relaxed);
        rules
            .get(service)
            .is_some_and(|known| known.rule.id == rule.id)
    }

    /// Whether a rollout runs, of any service.
    pub fn is_any_running(&self) -> bool {
        self.is_any_running.load(Relaxed)
    }

    /// Returns the rules of the rollouts that run, by service.
    pub fn running(&self) -> Vec<(String, Arc<KnownRule>)> {
        if !self.is_any_running() {
            return Vec::new();
        }
        let rules = self.rules.load();
        let running = rules.iter().filter(|(_, k)| !k.rule.stage.is_final());
        running
            .map(|(service, known)| (service.clone(), Arc::clone(known)))
            .collect()
    }

    /// Returns the rule of a service.
    pub fn find(&self, service: &str) -> Option<Arc<KnownRule>> {
        self.rules.load().get(service).cloned()
    }
}

fn is_replaced(known: &VersionRule, rule: &VersionRule) -> bool {
    let has_ended = known.stage.is_final() && known.id.order == rule.id.order;
    rule.id > known.id && !has_ended
}

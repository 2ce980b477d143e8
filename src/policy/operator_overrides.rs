//! Keeps the operators' commands that still affect an endpoint.
//!
//! An operator may disable and enable an endpoint before discovery lists it, and a command stays in force
//! across lists. An endpoint that an operator enables is assumed to have been restarted while it was
//! disabled.

use super::endpoint::EndpointId;
use std::collections::BTreeMap;

/// An operator's command that still affects an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
enum OperatorOverride {
    /// The endpoint is out of service until an operator enables it.
    Disabled,
    /// An operator enabled the endpoint again at this time, in milliseconds on the balancer's clock. The
    /// override is dropped when the slow start that began at that time is over.
    EnabledAt(f64),
}

/// The overrides of all endpoints, known and unknown.
#[derive(Debug, Default)]
pub(super) struct OperatorOverrides(BTreeMap<EndpointId, OperatorOverride>);

impl OperatorOverrides {
    /// Disables an endpoint.
    pub fn disable(&mut self, id: EndpointId) {
        self.0.insert(id, OperatorOverride::Disabled);
    }

    /// Enables an endpoint. Returns `false`, and changes nothing, if it is not disabled.
    pub fn enable(&mut self, now_ms: f64, id: EndpointId) -> bool {
        let was_disabled = self.is_disabled(id);
        if was_disabled {
            self.0.insert(id, OperatorOverride::EnabledAt(now_ms));
        }
        was_disabled
    }

    /// Returns whether an endpoint is disabled.
    pub fn is_disabled(&self, id: EndpointId) -> bool {
        self.0.get(&id) == Some(&OperatorOverride::Disabled)
    }

    /// Returns the disabled endpoints, ordered by id.
    pub fn disabled(&self) -> impl Iterator<Item = EndpointId> {
        self.0.keys().copied().filter(|id| self.is_disabled(*id))
    }

    /// Returns when an operator enabled an endpoint, in milliseconds on the balancer's clock. Returns `None`
    /// if the endpoint is disabled, or if no operator has enabled it within the time of a slow start.
    pub fn enabled_at_ms(&self, id: EndpointId) -> Option<f64> {
        match self.0.get(&id) {
            Some(OperatorOverride::EnabledAt(at_ms)) => Some(*at_ms),
            Some(OperatorOverride::Disabled) | None => None,
        }
    }

    /// Returns the endpoints that an operator has enabled, ordered by id, each with the time of the command
    /// in milliseconds on the balancer's clock.
    pub fn enabled(&self) -> impl Iterator<Item = (EndpointId, f64)> {
        self.0.keys().filter_map(|id| self.enabled_at_ms(*id).map(|at_ms| (*id, at_ms)))
    }

    /// Drops the overrides of endpoints that were enabled `slow_start_ms` ago or earlier.
    pub fn drop_expired(&mut self, now_ms: f64, slow_start_ms: f64) {
        self.0.retain(|_, operator_override| match operator_override {
            OperatorOverride::Disabled => true,
            OperatorOverride::EnabledAt(at_ms) => now_ms - *at_ms < slow_start_ms,
        });
    }
}

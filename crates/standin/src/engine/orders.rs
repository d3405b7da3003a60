//! Orders to load or unload a model and to change the engine's role.

use serde::{Deserialize, Serialize};

/// The kind of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Loads a model, an adapter or a version of one.
    Load,
    /// Unloads a model, an adapter or a version of one.
    Unload,
    /// Changes the role of the engine.
    Role,
}

/// An order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The kind of the order.
    pub kind: Kind,
    /// The model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// The new role.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
}

/// An order with the fencing token of its sender's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fenced {
    /// The fencing token.
    pub fence: u64,
    /// The order.
    pub order: Order,
}

/// The rejection of an order with a stale fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Stale {
    /// The highest fencing token of any executed order.
    pub(super) fence: u64,
}

/// The executed orders and the models that are loaded after them.
#[derive(Debug, Default)]
pub(super) struct Orders {
    highest_fence: u64,
    pub(super) models: Vec<String>,
    pub(super) executed: Vec<Fenced>,
}

impl Orders {
    pub(super) fn new(models: Vec<String>) -> Self {
        Self {
            models,
            ..Self::default()
        }
    }

    /// Executes an order; if `checks_fencing_token`, rejects one with a stale fencing token.
    pub(super) fn execute(
        &mut self,
        fenced: Fenced,
        checks_fencing_token: bool,
    ) -> Result<(), Stale> {
        if checks_fencing_token && fenced.fence < self.highest_fence {
            return Err(Stale {
                fence: self.highest_fence,
            });
        }
        self.highest_fence = self.highest_fence.max(fenced.fence);
        self.apply(&fenced.order);
        self.executed.push(fenced);
        Ok(())
    }

    fn apply(&mut self, order: &Order) {
        let Some(model) = &order.model else { return };
        match order.kind {
            Kind::Load if !self.models.contains(model) => self.models.push(model.clone()),
            Kind::Unload => self.models.retain(|loaded| loaded != model),
            _ => {}
        }
    }
}

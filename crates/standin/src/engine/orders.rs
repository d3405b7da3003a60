//! Orders to load and unload models and to change role.

use serde::{Deserialize, Serialize};

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Loads a model, an adapter or a version.
    Load,
    /// Unloads it.
    Unload,
    /// Changes the role.
    Role,
}

/// One order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// What it does.
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

/// An order and the fencing number of whoever gives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fenced {
    /// The fencing number.
    pub fence: u64,
    /// The order.
    pub order: Order,
}

/// An order whose fencing number is old.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Stale {
    /// The highest number seen.
    pub(super) fence: u64,
}

/// The orders carried out, and the models that came of them.
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

    /// Takes an order, checking its fencing number if `checks`.
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

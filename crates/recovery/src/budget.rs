//! Retry budget of each workspace and of the whole router.

use std::collections::BTreeMap;

use units::{time::Instant, workspace};

use crate::Settings;

/// What one retry costs.
const RETRY_COST: u32 = 1000;

/// The retries that have been paid for, in thousandths.
#[derive(Clone, Copy, Debug)]
struct Account {
    balance: u32,
    used_at: Instant,
}

impl Account {
    fn deposit(&mut self, settings: &Settings, now: Instant) {
        let max_balance = settings.retry_burst.saturating_mul(RETRY_COST);
        self.balance = self
            .balance
            .saturating_add(settings.retry_permille)
            .min(max_balance);
        self.used_at = now;
    }
}

/// Retries as a share of recent requests.
///
/// Without it, a failure of many backend servers turns each request into
/// several, and the rest of them fails under the load. A workspace's retries
/// are paid by its own requests, so that one that fails much does not spend
/// what the others paid in; the router's own account bounds the sum, since
/// otherwise the floors of many small workspaces add up.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: Settings,
    router: Account,
    workspaces: BTreeMap<workspace::Id, Account>,
    swept_at: Instant,
}

impl RetryBudget {
    /// A budget that only the floor has been paid into.
    pub fn new(settings: Settings, now: Instant) -> Self {
        let router = Account {
            balance: settings.initial_retries.saturating_mul(RETRY_COST),
            used_at: now,
        };
        Self {
            settings,
            router,
            workspaces: BTreeMap::new(),
            swept_at: now,
        }
    }

    /// A request of `workspace` was sent for the first time.
    pub fn record_request(&mut self, workspace: &workspace::Id, now: Instant) {
        self.sweep(now);
        self.router.deposit(&self.settings, now);
        if let Some(account) = self.workspaces.get_mut(workspace) {
            account.deposit(&self.settings, now);
            return;
        }
        let mut account = Account {
            balance: self.settings.initial_retries.saturating_mul(RETRY_COST),
            used_at: now,
        };
        account.deposit(&self.settings, now);
        self.workspaces.insert(workspace.clone(), account);
    }

    /// Pays for a retry of `workspace`, if it can.
    pub fn try_withdraw(&mut self, workspace: &workspace::Id, now: Instant) -> bool {
        let Some(account) = self.workspaces.get_mut(workspace) else {
            return false;
        };
        if account.balance < RETRY_COST || self.router.balance < RETRY_COST {
            return false;
        }
        account.balance -= RETRY_COST;
        account.used_at = now;
        self.router.balance -= RETRY_COST;
        true
    }

    /// Workspaces that are remembered.
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Whether no workspace is remembered.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }

    /// Forgets idle workspaces once in a window.
    fn sweep(&mut self, now: Instant) {
        let idle_timeout = self.settings.workspace_idle_timeout;
        if now.since(self.swept_at) < idle_timeout {
            return;
        }
        self.swept_at = now;
        self.workspaces
            .retain(|_, account| now.since(account.used_at) < idle_timeout);
    }
}

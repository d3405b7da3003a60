//! The retry budgets of each workspace and of the whole router.

use std::collections::BTreeMap;

use units::{time::Instant, workspace};

use crate::Settings;

/// The cost of one retry, in thousandths of a retry.
const RETRY_COST: u32 = 1000;

/// A balance of retries, in thousandths of a retry.
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

/// Limits retries to a share of recent requests.
///
/// Without a limit, a failure of many backend servers multiplies the number of
/// attempts, and the remaining servers fail under the load. Each workspace's
/// requests pay for its own retries, so that a workspace with many failures does
/// not use up the budget of others. The router's account bounds the total, since
/// the initial balances of many small workspaces would otherwise add up.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: Settings,
    router: Account,
    workspaces: BTreeMap<workspace::Id, Account>,
    swept_at: Instant,
}

impl RetryBudget {
    /// Creates a budget with only the initial balance.
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

    /// Records a new request of `workspace` (not a retry), which adds to its balance and
    /// to the router's.
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

    /// Withdraws the cost of one retry from the balances of `workspace` and the
    /// router. Returns false if either is insufficient.
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

    /// The number of workspaces with an account.
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Whether no workspace has an account.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }

    /// Removes idle workspaces, at most once per idle timeout.
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

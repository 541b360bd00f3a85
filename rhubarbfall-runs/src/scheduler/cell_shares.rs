//! The part of this cell in the limits of the whole fleet, and its reports of what it uses of them.

use litemap::LiteMap;
use rhubarbfall_core::{CellId, CustomerId, WaveId};

use super::{Scheduler, Wave};
use crate::lending::{Account, AccountUse, CellReport, CompletedWave, Dimension, Grants};
use crate::{Customer, FleetConfig, Resources, Task, TaskPhase};

/// The shares that a cell follows.
#[derive(Debug, Default)]
pub(super) struct CellShares {
    grants: Grants,
    /// The customers' accounts whose limits were lowered while their shares were equal, each with the
    /// revision that was followed then: other cells may still use more, so that nothing starts until
    /// the shares have been withdrawn and set anew.
    unsettled: LiteMap<Account, u64>,
    /// The waves of which the other cells have no VM left to maintain, sorted.
    completed_elsewhere: Vec<CompletedWave>,
}

/// What the waiting tasks of a customer need.
#[derive(Debug, Clone, Copy, Default)]
struct WaitingDemand {
    total: Resources,
    /// The most that one of the tasks needs, by kind of resource: a task needs room in all of them.
    largest: Resources,
}

impl WaitingDemand {
    fn add(&mut self, demand: Resources, tasks: u64) {
        self.total += demand.times(tasks);
        self.largest = self.largest.max(demand);
    }
}

impl Scheduler {
    fn is_divided(&self) -> bool {
        self.settings.cells > 1
    }

    /// Returns what this cell may use of a limit.
    fn share_of(&self, account: &Account, limit: u64) -> u64 {
        let shares = &self.shares;
        if !self.is_divided() {
            limit
        } else if shares.unsettled.contains_key(account) {
            0
        } else {
            let cell = self.settings.cell;
            shares
                .grants
                .share(account, limit, cell, self.settings.cells)
        }
    }

    /// Returns whether a customer may use these resources within this cell's share of its limit.
    pub(super) fn is_within_share(&self, customer: &Customer, used: Resources) -> bool {
        if !self.is_divided() {
            return used.is_within_limit(customer.limit);
        }
        Dimension::ALL.iter().all(|dimension| {
            let limit = dimension.of(customer.limit);
            let account = || Account::Customer(*dimension, customer.id.clone());
            limit == 0 || dimension.of(used) <= self.share_of(&account(), limit)
        })
    }

    /// Returns this cell's part of the limit of a customer, 0 in what is not limited.
    pub(super) fn customer_share(&self, customer: &Customer) -> Resources {
        let of = |dimension: Dimension| match dimension.of(customer.limit) {
            0 => 0,
            limit => self.share_of(&Account::Customer(dimension, customer.id.clone()), limit),
        };
        Resources {
            cpu_millis: of(Dimension::Cpu),
            memory_mb: of(Dimension::Memory),
            gpus: of(Dimension::Gpu),
        }
    }

    /// Returns how many VMs of this cell may be down for a wave at the same time.
    pub(super) fn wave_share(&self, wave: &WaveId, max_down: usize) -> usize {
        let limit = max_down.max(1) as u64;
        self.share_of(&Account::Wave(wave.clone()), limit) as usize
    }

    /// Follows new grants; older ones than those in force are ignored.
    pub fn follow_grants(&mut self, grants: Grants) {
        if grants.revision < self.shares.grants.revision {
            return;
        }
        self.shares
            .unsettled
            .retain(|account, since| !grants.is_withdrawn_since(account, *since));
        self.shares.grants = grants;
        self.update_wave_shares();
        self.needs_placement = true;
    }

    /// Records the accounts whose limits a configuration lowers while their shares are equal.
    pub(super) fn record_lowered_limits(&mut self, config: &FleetConfig) {
        if !self.is_divided() {
            return;
        }
        for customer in &config.customers {
            let Some(before) = self.config.customer(&customer.id) else {
                continue;
            };
            for dimension in Dimension::ALL {
                let (old, new) = (dimension.of(before.limit), dimension.of(customer.limit));
                let is_lowered = new > 0 && (old == 0 || new < old);
                let account = Account::Customer(dimension, customer.id.clone());
                // Shares of an account's own are for its limit, so that they show a lowered one.
                if is_lowered && self.shares.grants.accounts.get(&account).is_none() {
                    let since = self.shares.grants.revision;
                    self.shares.unsettled.insert(account, since);
                }
            }
        }
        let is_limited = |account: &Account| match account {
            Account::Customer(dimension, customer) => config
                .customer(customer)
                .is_some_and(|customer| dimension.of(customer.limit) > 0),
            Account::Wave(_) => false,
        };
        self.shares
            .unsettled
            .retain(|account, _| is_limited(account));
    }

    /// Returns the limits that cells share: those of customers, and those of waves that have VMs left.
    #[must_use]
    pub fn shared_limits(&self) -> LiteMap<Account, u64> {
        let mut limits = LiteMap::new();
        for customer in &self.config.customers {
            for dimension in Dimension::ALL {
                let limit = dimension.of(customer.limit);
                if limit > 0 {
                    limits.insert(Account::Customer(dimension, customer.id.clone()), limit);
                }
            }
        }
        for (id, max_down) in self.open_waves() {
            limits.insert(Account::Wave(id), max_down.max(1) as u64);
        }
        limits
    }

    /// Returns what this cell uses and needs of the limits that cells share.
    #[must_use]
    pub fn cell_report(&self) -> CellReport {
        let mut uses = LiteMap::new();
        let waiting = self.waiting_demand();
        for customer in &self.config.customers {
            let used = self.customer_usage.get(&customer.id).copied();
            let waiting = waiting.get(&customer.id).copied().unwrap_or_default();
            for dimension in Dimension::ALL {
                let limit = dimension.of(customer.limit);
                let used = dimension.of(used.unwrap_or_default());
                let account = Account::Customer(dimension, customer.id.clone());
                let is_unsettled = self.shares.unsettled.contains_key(&account);
                let of_account = AccountUse {
                    used,
                    wanted: used + dimension.of(waiting.total),
                    unit: dimension.of(waiting.largest),
                    is_unsettled,
                };
                let is_contested = self.shares.grants.accounts.get(&account).is_some();
                if limit > 0
                    && (is_contested
                        || is_unsettled
                        || of_account.wanted > self.share_of(&account, limit))
                {
                    uses.insert(account, of_account);
                }
            }
        }
        for (id, _) in self.open_waves() {
            let (used, waiting) = self.wave_use(&id);
            let of_wave = AccountUse {
                used: used as u64,
                wanted: (used + waiting) as u64,
                unit: u64::from(waiting > 0),
                is_unsettled: false,
            };
            uses.insert(Account::Wave(id), of_wave);
        }
        CellReport {
            follows: self.shares.grants.revision,
            uses,
            completed_waves: self.completed_waves(),
        }
    }

    /// Returns what the customers' waiting tasks need, also those that can only be late: they must run
    /// as well.
    fn waiting_demand(&self) -> LiteMap<CustomerId, WaitingDemand> {
        let mut waiting: LiteMap<CustomerId, WaitingDemand> = LiteMap::new();
        for job in self.jobs.active() {
            let Some(customer) = &job.submission.customer else {
                continue;
            };
            for (_, _, step, run) in job.open_steps() {
                let is_waiting = |task: &&Task| task.phase == TaskPhase::Waiting;
                let tasks = run.tasks.iter().filter(is_waiting).count() as u64;
                if tasks > 0 {
                    let of_customer = waiting.entry(customer.clone()).or_default();
                    of_customer.add(step.demand, tasks);
                }
            }
        }
        waiting
    }

    /// Records the waves of which no other cell has a VM left to maintain, by reports on the same
    /// version of the request.
    pub fn waves_completed_elsewhere(&mut self, mut waves: Vec<CompletedWave>) {
        waves.sort();
        self.shares.completed_elsewhere = waves;
    }

    /// Returns whether this cell reports the state of waves for all cells.
    pub(super) fn reports_waves(&self) -> bool {
        self.settings.cell == CellId::FIRST
    }

    /// Returns whether all other cells have completed their part of a wave.
    pub(super) fn is_completed_elsewhere(&self, wave: &Wave) -> bool {
        let completed = CompletedWave {
            id: wave.id.clone(),
            version: wave.version,
        };
        let elsewhere = &self.shares.completed_elsewhere;
        !self.is_divided() || elsewhere.binary_search(&completed).is_ok()
    }
}

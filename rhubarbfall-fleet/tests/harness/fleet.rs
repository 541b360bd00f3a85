use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbfall_core::{
    AvailabilityZoneId, FencingNumber, LiteMap, PoolId, Revision, RowVersion, Slots, VmCount, VmId,
    WaveId,
};
use rhubarbfall_fleet::{
    Announcement, AnnouncementState, Budget, DrainConfirmation, FleetCommand, FleetTimings,
    FleetTransaction, Health, Observation, PoolDemand, SizerPolicy, Versioned, VmRow, VmRowState,
    WavePolicy, WaveStatus, ZoneFleet,
};

use super::shape::id;
use super::{Shape, SimEntry, Table};

/// The outcome of a VM's reboot by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RebootOutcome {
    ComesBack,
    StaysDown,
    FailsAfter(Duration),
}

/// The probability of each fault in one round of one zone.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    pub lose_answer: f64,
    pub drop_write: f64,
    pub crash: f64,
    pub pause_holder: f64,
    pub pause_entry: f64,
    pub second_holder: f64,
}

/// A lease holder that was paused before it committed its transaction.
#[derive(Debug)]
struct PausedHolder {
    resumes_at: Instant,
    transaction: FleetTransaction,
    commands: Vec<FleetCommand>,
}

#[derive(Debug)]
struct Zone {
    id: AvailabilityZoneId,
    fence: u64,
    holders: Vec<ZoneFleet>,
    paused: Vec<PausedHolder>,
    entries: Vec<SimEntry>,
    vms: Vec<VmId>,
    confirmations: Vec<DrainConfirmation>,
}

/// A simulated fleet in virtual time.
#[derive(Debug)]
pub struct Fleet {
    pub start: Instant,
    pub now: Instant,
    pub table: Table,
    pub table_up: bool,
    pub announcements: Vec<Announcement>,
    pub demand: LiteMap<PoolId, PoolDemand>,
    pub health: LiteMap<VmId, Health>,
    pub reboot_outcomes: LiteMap<VmId, RebootOutcome>,
    pub timings: FleetTimings,
    pub reboot_time: Duration,
    pub faults: Faults,
    /// Requests that were running on a VM when the platform rebooted it with a permit.
    pub interrupted_requests: u32,
    /// Number of times that an entry's view had a VM in a pool other than the table's, so that two
    /// pools could use it at once.
    pub wrong_pool_routes: u32,
    pub budgets: LiteMap<PoolId, Budget>,
    minimums: LiteMap<PoolId, VmCount>,
    zones: Vec<Zone>,
    reboots: LiteMap<VmId, Instant>,
    wave_policy: WavePolicy,
    sizer_policy: SizerPolicy,
    rng: ChaCha8Rng,
    next_holder: u32,
    zone_count: u32,
}

impl Fleet {
    pub fn new(
        shape: &Shape,
        timings: FleetTimings,
        wave: WavePolicy,
        sizer: SizerPolicy,
        seed: u64,
    ) -> Self {
        let start = Instant::now();
        let mut fleet = Self {
            start,
            now: start,
            table: Table::default(),
            table_up: true,
            announcements: Vec::new(),
            demand: LiteMap::new(),
            health: LiteMap::new(),
            reboot_outcomes: LiteMap::new(),
            timings,
            reboot_time: Duration::from_mins(5),
            faults: Faults::default(),
            interrupted_requests: 0,
            wrong_pool_routes: 0,
            budgets: LiteMap::new(),
            minimums: LiteMap::new(),
            zones: Vec::new(),
            reboots: LiteMap::new(),
            wave_policy: wave,
            sizer_policy: sizer,
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_holder: 0,
            zone_count: shape.zones as u32,
        };
        fleet.populate(shape);
        fleet
    }

    fn populate(&mut self, shape: &Shape) {
        for (pool, _, budget) in &shape.pools {
            let budget = Budget {
                max_unavailable_vms: VmCount::new(*budget),
                revision: Revision::new(1),
            };
            self.budgets.insert(id(pool), budget);
        }
        for row in shape.rows() {
            let health = Health {
                is_healthy: true,
                since: self.start,
            };
            self.health.insert(row.vm.clone(), health);
            let versioned = Versioned::new(RowVersion::new(1), row.clone());
            self.table.rows.vms.insert(row.vm, versioned);
        }
        for number in 0..shape.zones {
            let zone: AvailabilityZoneId = id(&format!("zone-{number}"));
            let rows = self.table.rows.vms.values().map(|row| &row.value);
            let vms = rows
                .filter(|row| row.zone == zone)
                .map(|row| row.vm.clone());
            let entry = |index| id(&format!("{zone}-entry-{index}"));
            let lifetime = self.timings.view_lifetime.expect("views expire");
            self.zones.push(Zone {
                fence: 1,
                holders: Vec::new(),
                paused: Vec::new(),
                entries: (0..shape.entries_per_zone)
                    .map(|index| SimEntry::new(entry(index), lifetime))
                    .collect(),
                vms: vms.collect(),
                confirmations: Vec::new(),
                id: zone,
            });
        }
        for index in 0..self.zones.len() {
            let holder = self.new_holder(index);
            self.zones[index].holders.push(holder);
        }
    }

    pub fn set_minimums(&mut self, minimums: LiteMap<PoolId, VmCount>) {
        self.minimums = minimums;
        for index in 0..self.zones.len() {
            let holder = self.new_holder(index);
            self.zones[index].holders = vec![holder];
        }
    }

    fn new_holder(&mut self, zone: usize) -> ZoneFleet {
        self.next_holder += 1;
        let mut holder = ZoneFleet::new(
            format!("holder-{}", self.next_holder),
            self.zones[zone].id.clone(),
            self.timings,
            self.wave_policy,
            self.sizer_policy.clone(),
        );
        holder.set_minimums(self.minimums.clone());
        holder
    }

    pub fn row(&self, vm: &VmId) -> &VmRow {
        &self.table.rows.vms.get(vm).expect("the VM exists").value
    }

    pub fn holder(&self, zone: &AvailabilityZoneId) -> &ZoneFleet {
        let zone = self.zones.iter().find(|found| found.id == *zone);
        &zone.expect("the zone exists").holders[0]
    }

    /// Announces every VM in one wave.
    pub fn announce_all(&mut self, wave: &WaveId, due_in: Duration) {
        let due_at_unix_ms = self.now_unix_ms() + due_in.as_millis() as u64;
        let rows = self.table.rows.vms.values().map(|row| row.value.clone());
        let all: Vec<VmRow> = rows.collect();
        for row in all {
            self.announcements.push(Announcement {
                wave: wave.clone(),
                vm: row.vm,
                zone: row.zone,
                rack: row.rack,
                due_at_unix_ms,
                state: AnnouncementState::Announced,
            });
        }
        self.announcements
            .sort_by(|a, b| (&a.vm, &a.wave).cmp(&(&b.vm, &b.wave)));
    }

    pub fn set_status(&mut self, wave: &WaveId, status: WaveStatus) {
        let row = self
            .table
            .rows
            .waves
            .get_mut(wave)
            .expect("the wave exists");
        row.version = row.version.next();
        row.value.status = status;
    }

    pub fn now_unix_ms(&self) -> u64 {
        (self.now - self.start).as_millis() as u64
    }

    pub fn set_demand_percent(&mut self, pool: &PoolId, percent: u32, slots_per_vm: u32) {
        let rows = self.table.rows.vms.values();
        let vms = rows.filter(|row| row.value.pool == *pool).count() as u32;
        let demand = PoolDemand {
            running_slots: Slots::new(vms * slots_per_vm * percent / 100),
            waiting_slots: Slots::ZERO,
            slots_per_vm: Slots::new(slots_per_vm),
        };
        self.demand.insert(pool.clone(), demand);
    }

    pub fn set_health(&mut self, vm: &VmId, is_healthy: bool) {
        let known = self.health.get(vm).copied();
        if known.is_none_or(|health| health.is_healthy != is_healthy) {
            let since = self.now;
            self.health.insert(vm.clone(), Health { is_healthy, since });
        }
    }

    /// Reboots a VM without a permit.
    pub fn reboot_without_permit(&mut self, vm: &VmId) {
        let found = self.announcements.iter_mut().find(|found| found.vm == *vm);
        found.expect("the VM is announced").state = AnnouncementState::Rebooting;
        self.reboots.insert(vm.clone(), self.now + self.reboot_time);
        self.set_health(vm, false);
    }

    pub fn pause_entry(&mut self, zone: usize, entry: usize, pause: Duration) {
        self.zones[zone].entries[entry].paused_until = Some(self.now + pause);
    }

    pub fn replace_holder(&mut self, zone: usize) {
        let holder = self.new_holder(zone);
        self.zones[zone].fence += 1;
        self.zones[zone].holders = vec![holder];
    }

    pub fn is_wave_done(&self) -> bool {
        let is_done = |found: &Announcement| found.state == AnnouncementState::Done;
        let rows = self.table.rows.vms.values();
        self.announcements.iter().all(is_done)
            && rows
                .into_iter()
                .all(|row| row.value.state == VmRowState::InService)
    }

    /// Runs until `done` returns true or the limit is reached; returns the elapsed time, or `None`
    /// at the limit.
    pub fn run(
        &mut self,
        tick: Duration,
        limit: Duration,
        mut done: impl FnMut(&mut Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now < start + limit {
            if done(self) {
                return Some(self.now - start);
            }
            self.tick(tick);
        }
        None
    }

    pub fn tick(&mut self, tick: Duration) {
        self.now += tick;
        self.platform_tick();
        for index in 0..self.zones.len() {
            self.entries_tick(index);
            if self.table_up {
                self.holders_tick(index);
            }
        }
        self.check_budgets();
    }

    fn platform_tick(&mut self) {
        let now = self.now;
        let finished: Vec<VmId> = self
            .reboots
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in finished {
            match self
                .reboot_outcomes
                .get(&vm)
                .copied()
                .unwrap_or(RebootOutcome::ComesBack)
            {
                RebootOutcome::ComesBack => self.finish_reboot(&vm),
                RebootOutcome::StaysDown => {}
                RebootOutcome::FailsAfter(delay) => {
                    self.finish_reboot(&vm);
                    if self.reboots.get(&vm).is_some_and(|end| *end + delay <= now) {
                        self.set_health(&vm, false);
                    } else {
                        continue;
                    }
                }
            }
            self.reboots.remove(&vm);
        }
    }

    fn finish_reboot(&mut self, vm: &VmId) {
        let list = self.announcements.iter_mut();
        for found in list.filter(|found| found.vm == *vm) {
            if found.state == AnnouncementState::Rebooting {
                found.state = AnnouncementState::Done;
            }
        }
        self.set_health(vm, true);
    }

    fn entries_tick(&mut self, index: usize) {
        let now = self.now;
        let zone = &mut self.zones[index];
        for entry in &mut zone.entries {
            if !entry.is_paused(now) && self.rng.random_bool(self.faults.pause_entry) {
                let pause: u64 = self.rng.random_range(1..60);
                entry.paused_until = Some(now + Duration::from_secs(pause));
            }
            if entry.is_paused(now) {
                continue;
            }
            // A resumed entry may route on its old view before its next read.
            entry.route(&zone.vms, self.timings.longest_request, &mut self.rng, now);
            let rows = &self.table.rows.vms;
            let committed_pool = |vm: &VmId| rows.get(vm).map(|row| row.value.pool.clone());
            let is_wrong = |vm: &&VmId| {
                let pool = entry.pool_of(vm, now);
                pool.is_some() && pool != committed_pool(vm)
            };
            self.wrong_pool_routes += zone.vms.iter().filter(is_wrong).count() as u32;
            if self.table_up {
                let own = zone.vms.iter().filter_map(|vm| rows.get(vm));
                entry.read(own.map(|row| row.value.clone()), now);
            }
        }
    }

    fn holders_tick(&mut self, index: usize) {
        self.resume_holders(index);
        if self.rng.random_bool(self.faults.crash) {
            self.replace_holder(index);
        }
        if self.rng.random_bool(self.faults.second_holder) {
            let second_holder = self.new_holder(index);
            self.zones[index].holders.truncate(1);
            self.zones[index].holders.push(second_holder);
        }
        // Concurrent holders read the same rows before either of them writes.
        let observation = self.observe(index);
        for number in 0..self.zones[index].holders.len() {
            let mut seen = observation.clone();
            seen.fence = Some(FencingNumber::new(self.zones[index].fence + number as u64));
            let round = self.zones[index].holders[number].round(&seen, self.now);
            if let Some(transaction) = round.transaction {
                if self.rng.random_bool(self.faults.pause_holder) {
                    let pause: u64 = self.rng.random_range(1..120);
                    let resumes_at = self.now + Duration::from_secs(pause);
                    let commands = round.commands;
                    let paused = PausedHolder {
                        resumes_at,
                        transaction,
                        commands,
                    };
                    self.zones[index].paused.push(paused);
                    self.replace_holder(index);
                    return;
                }
                self.commit(&transaction);
            }
            self.execute(index, &round.commands);
        }
    }

    fn resume_holders(&mut self, index: usize) {
        let now = self.now;
        let paused = std::mem::take(&mut self.zones[index].paused);
        let (due, still_paused): (Vec<_>, Vec<_>) = paused
            .into_iter()
            .partition(|paused| paused.resumes_at <= now);
        self.zones[index].paused = still_paused;
        for holder in due {
            self.table.commit(&holder.transaction);
            self.execute(index, &holder.commands);
        }
    }

    fn commit(&mut self, transaction: &FleetTransaction) {
        if self.rng.random_bool(self.faults.drop_write) {
            return;
        }
        self.table.commit(transaction);
        if self.rng.random_bool(self.faults.lose_answer) {
            self.table.commit(transaction);
        }
    }

    fn observe(&mut self, index: usize) -> Observation {
        let zone_demand = self.zone_demand();
        let zone = &mut self.zones[index];
        Observation {
            fence: None,
            rows: self.table.rows.clone(),
            announcements: Some(self.announcements.clone()),
            health: self.health.clone(),
            entries: zone.entries.iter().map(|entry| entry.id.clone()).collect(),
            confirmations: std::mem::take(&mut zone.confirmations),
            budgets: self.budgets.clone(),
            demand: self.demand.clone(),
            zone_demand,
            new_vms: Vec::new(),
            now_unix_ms: (self.now - self.start).as_millis() as u64,
        }
    }

    /// Returns one zone's share of the demand, which the balancer spreads evenly over the zones.
    fn zone_demand(&self) -> LiteMap<PoolId, PoolDemand> {
        let zones = self.zone_count;
        let part = |slots: Slots| Slots::new(slots.get() / zones);
        let parts = self.demand.iter().map(|(pool, demand)| {
            let demand = PoolDemand {
                running_slots: part(demand.running_slots),
                waiting_slots: part(demand.waiting_slots),
                slots_per_vm: demand.slots_per_vm,
            };
            (pool.clone(), demand)
        });
        parts.collect()
    }

    fn execute(&mut self, index: usize, commands: &[FleetCommand]) {
        for command in commands {
            if let FleetCommand::PermitReboot { wave, vm } = command {
                self.permit_reboot(index, wave, vm);
            }
            let now = self.now;
            let zone = &mut self.zones[index];
            for entry in &mut zone.entries {
                if !entry.is_paused(now) {
                    zone.confirmations.extend(entry.execute(command, now));
                }
            }
        }
    }

    /// Starts a reboot on its permit; the platform reboots a VM only once for each announcement.
    fn permit_reboot(&mut self, index: usize, wave: &WaveId, vm: &VmId) {
        let now = self.now;
        let mut list = self.announcements.iter_mut();
        let found = list.find(|found| found.vm == *vm && found.wave == *wave);
        let Some(found) = found.filter(|found| found.state == AnnouncementState::Announced) else {
            return;
        };
        found.state = AnnouncementState::Rebooting;
        self.reboots.insert(vm.clone(), now + self.reboot_time);
        self.set_health(vm, false);
        let entries = &self.zones[index].entries;
        let runs = |entry: &&SimEntry| entry.busy_until.get(vm).is_some_and(|end| *end > now);
        self.interrupted_requests += entries.iter().filter(runs).count() as u32;
    }

    fn check_budgets(&mut self) {
        for (pool, budget) in &self.budgets {
            let max = budget.max_unavailable_vms.get() as usize;
            self.table.budget_violations +=
                u32::from(self.table.planned_unavailable_vms(pool) > max);
        }
    }
}

use std::collections::VecDeque;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{
    ENTRIES, ENTRIES_PER_ZONE, Report, SAMPLE_STEPS, STEP_MS, Scenario, TEAMS, ZONE_SLOTS, ZONES,
    service_steps, zone_of,
};

/// A simple scheduling policy to compare against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Baseline {
    /// Starts the oldest request in the zone.
    FirstComeFirstServed,
    /// Gives each team the same fixed number of slots at each entry.
    StaticSplit,
}

/// The maximum number of waiting requests of one team at one entry, as in `AdmissionSettings`.
const MAX_WAITING: usize = 2_000;

/// Runs a scenario under a baseline.
pub(crate) fn run(scenario: &Scenario, baseline: Baseline) -> Report {
    let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
    let mut report = Report::new(scenario);
    let mut waiting = vec![vec![VecDeque::new(); TEAMS]; ENTRIES];
    let mut running: Vec<(u64, usize, usize)> = Vec::new();
    let mut held = vec![[0_usize; TEAMS]; ENTRIES];
    for step in 0..scenario.seconds * 1000 / STEP_MS {
        for (_, entry, team) in running.extract_if(.., |work| work.0 <= step) {
            held[entry][team] -= 1;
        }
        let arrivals = (0..TEAMS).map(|team| (team, scenario.arrivals(&mut rng, team, step)));
        for (team, entries) in arrivals {
            for entry in entries {
                let queue: &mut VecDeque<u64> = &mut waiting[entry][team];
                if queue.len() < MAX_WAITING {
                    queue.push_back(step);
                }
            }
        }
        for zone in 0..ZONES {
            while let Some((entry, team)) = choose(baseline, zone, &waiting, &held) {
                waiting[entry][team].pop_front();
                held[entry][team] += 1;
                running.push((step + service_steps(&mut rng), entry, team));
            }
        }
        if step.is_multiple_of(SAMPLE_STEPS) {
            report.record(&count(&waiting, &held));
        }
    }
    report
}

fn count(waiting: &[Vec<VecDeque<u64>>], held: &[[usize; TEAMS]]) -> Vec<Vec<(u32, u32)>> {
    let mut counts = vec![vec![(0, 0); TEAMS]; ZONES];
    for entry in 0..ENTRIES {
        for team in 0..TEAMS {
            let count = &mut counts[zone_of(entry)][team];
            count.0 += held[entry][team] as u32;
            count.1 += waiting[entry][team].len() as u32;
        }
    }
    counts
}

fn choose(
    baseline: Baseline,
    zone: usize,
    waiting: &[Vec<VecDeque<u64>>],
    held: &[[usize; TEAMS]],
) -> Option<(usize, usize)> {
    let entries = zone * ENTRIES_PER_ZONE..(zone + 1) * ENTRIES_PER_ZONE;
    let in_zone: usize = held[entries.clone()].iter().flatten().sum();
    if in_zone >= ZONE_SLOTS as usize {
        return None;
    }
    let heads = entries.flat_map(|entry| (0..TEAMS).map(move |team| (entry, team)));
    let fixed = ZONE_SLOTS as usize / ENTRIES_PER_ZONE / TEAMS;
    let may_start = |(entry, team): &(usize, usize)| {
        baseline == Baseline::FirstComeFirstServed || held[*entry][*team] < fixed
    };
    heads
        .filter(|(entry, team)| !waiting[*entry][*team].is_empty())
        .filter(may_start)
        .min_by_key(|(entry, team)| waiting[*entry][*team].front().copied())
}

//! Which of the suitable places tasks are given.

use std::collections::BTreeMap;

use super::super::candidate_worker::{self, CandidateWorker, SearchScope};
use super::cost::PaceCosts;
use crate::batch::{Resources, StepSpec, TaskKey};
use crate::{RackId, WorkerId};

/// Places found for tasks, and who has to give way.
#[derive(Debug, Clone, Default)]
pub(in crate::batch::planner) struct PlacementChoice {
    pub(in crate::batch::planner) cost: u64,
    /// How many of the places are in another zone than the job's caller.
    pub(in crate::batch::planner) in_other_zones: usize,
    pub(in crate::batch::planner) places: Vec<WorkerId>,
    pub(in crate::batch::planner) victims: Vec<(WorkerId, TaskKey)>,
    /// Factor of the slowest worker among them.
    pub(in crate::batch::planner) slowest_factor: f64,
}

/// From how many times as slow on workers are of another pace.
const OTHER_PACE: f64 = 1.25;
/// Most sets of workers by pace that are tried for a gang.
const MOST_SETS: usize = 4;

/// Finds places for `count` tasks; for a gang all or none. `paces` tells what the pace of workers
/// costs, where they are not alike.
pub(super) fn search(
    step: &StepSpec,
    count: usize,
    scope: SearchScope,
    sites: Vec<CandidateWorker>,
    paces: Option<&PaceCosts>,
) -> Option<PlacementChoice> {
    if count == 0 {
        return None;
    }
    let needs = step.reserved_resources();
    if step.gang && step.same_rack && scope.near {
        return by_rack(sites)
            .into_values()
            .filter(|sites| might_hold(sites, &needs, count))
            .filter_map(|sites| choose_by_pace(sites, &needs, count, true, paces))
            .min_by_key(|choice| (choice.cost, choice.in_other_zones));
    }
    choose_by_pace(sites, &needs, count, step.gang, paces)
}

/// Chooses places by what the pace of workers costs beside all else.
fn choose_by_pace(
    sites: Vec<CandidateWorker>,
    needs: &Resources,
    count: usize,
    whole: bool,
    paces: Option<&PaceCosts>,
) -> Option<PlacementChoice> {
    let Some(paces) = paces else {
        return choose(sites, needs, count, whole, None);
    };
    if whole {
        return choose_of_one_pace(&sites, needs, count, paces);
    }
    let mut sites = sites;
    for site in &mut sites {
        site.penalty += paces.of(site, site.pace.factor);
    }
    choose(sites, needs, count, false, Some(paces))
}

/// Chooses places for a gang, which goes at the pace of its slowest member: the fastest workers are
/// tried first, then slower ones with them; the cheapest is taken.
fn choose_of_one_pace(
    sites: &[CandidateWorker],
    needs: &Resources,
    count: usize,
    paces: &PaceCosts,
) -> Option<PlacementChoice> {
    let choices = slowest_of_sets(sites).into_iter().filter_map(|slowest| {
        let mut set: Vec<CandidateWorker> = sites
            .iter()
            .filter(|site| site.pace.factor <= slowest)
            .cloned()
            .collect();
        if !might_hold(&set, needs, count) {
            return None;
        }
        for site in &mut set {
            site.penalty += paces.of(site, slowest);
        }
        choose(set, needs, count, true, None)
    });
    choices.min_by_key(|choice| (choice.cost, choice.in_other_zones))
}

/// Returns the factors of the slowest workers of each set that may be tried, fastest first; the last
/// has all workers.
fn slowest_of_sets(sites: &[CandidateWorker]) -> Vec<f64> {
    let mut factors: Vec<f64> = sites.iter().map(|site| site.pace.factor).collect();
    factors.sort_by(f64::total_cmp);
    factors.dedup();
    let mut slowest: Vec<f64> = Vec::new();
    let mut first = 0.0;
    for factor in factors {
        match slowest.last_mut() {
            Some(last) if factor < first * OTHER_PACE => *last = factor,
            _ => {
                first = factor;
                slowest.push(factor);
            }
        }
    }
    if slowest.len() > MOST_SETS {
        slowest.drain(MOST_SETS - 1..slowest.len() - 1);
    }
    slowest
}

fn by_rack(sites: Vec<CandidateWorker>) -> BTreeMap<RackId, Vec<CandidateWorker>> {
    let mut racks = BTreeMap::<RackId, Vec<CandidateWorker>>::new();
    for site in sites {
        racks.entry(site.rack.clone()).or_default().push(site);
    }
    racks
}

/// Tells whether `count` tasks would have room if all that may gave way.
fn might_hold(sites: &[CandidateWorker], needs: &Resources, count: usize) -> bool {
    let most = u32::try_from(count).unwrap_or(u32::MAX);
    let times = sites.iter().map(|site| {
        let room = site.room.saturating_add(&site.victims.room());
        needs.copies_in(&room, most.min(site.spread_left))
    });
    times.fold(0_u32, u32::saturating_add) >= most
}

/// Returns how many of `count` tasks an allowance of accelerators covers; of a gang all or none.
pub(super) fn allowed(step: &StepSpec, count: usize, allowance: u32) -> usize {
    let most = allowance.checked_div(step.needs.accelerators);
    let most = most.map_or(count, |most| most as usize);
    if step.gang && most < count {
        return 0;
    }
    count.min(most)
}

/// What a place for one more task would cost.
struct Offer {
    /// Cheaper ones come first: cost, another zone than the caller's, accelerators and processor left.
    rank: (u64, bool, u32, u32),
    /// Cost of those that have to give way.
    cost: u64,
    victims: Vec<TaskKey>,
}

impl CandidateWorker {
    /// Notes that a task there will tell the worker's pace.
    fn explore(&mut self, paces: &PaceCosts) {
        let factor = self.pace.factor;
        let before = paces.of(self, factor);
        self.pace_pending = true;
        self.penalty = self.penalty.saturating_sub(before) + paces.of(self, factor);
    }

    fn offer(&self, needs: &Resources) -> Option<Offer> {
        if self.spread_left == 0 {
            return None;
        }
        let wanted = needs.saturating_add(&self.shortage);
        let (cost, victims) = self.victims.select(&wanted, &self.room)?;
        let left = self.room.saturating_sub(needs);
        Some(Offer {
            rank: (
                cost + self.penalty,
                self.in_other_zone,
                left.accelerators,
                left.cpu_millis,
            ),
            cost,
            victims,
        })
    }
}

/// Chooses a place for each of `count` tasks, the cheapest first.
///
/// Only the offers of sites that a choice has changed are made again.
///
/// With `paces` a worker whose pace the first task there will tell is no better than others for the next.
fn choose(
    mut sites: Vec<CandidateWorker>,
    needs: &Resources,
    count: usize,
    whole: bool,
    paces: Option<&PaceCosts>,
) -> Option<PlacementChoice> {
    let mut offers: Vec<Option<Offer>> = sites.iter().map(|site| site.offer(needs)).collect();
    let mut choice = PlacementChoice::default();
    for _ in 0..count {
        let ranks = offers.iter().enumerate();
        let ranks = ranks.filter_map(|(index, offer)| Some((offer.as_ref()?.rank, index)));
        let Some((_, index)) = ranks.min() else {
            break;
        };
        let Some(offer) = offers[index].take() else {
            break;
        };
        choice.cost += offer.cost + sites[index].penalty;
        choice.in_other_zones += usize::from(sites[index].in_other_zone);
        for victim in offer.victims {
            for changed in candidate_worker::preempt(&mut sites, index, &victim) {
                offers[changed] = sites[changed].offer(needs);
            }
            choice.victims.push((sites[index].worker.clone(), victim));
        }
        let site = &mut sites[index];
        site.room = site.room.saturating_sub(needs);
        site.spread_left -= 1;
        choice.slowest_factor = choice.slowest_factor.max(site.pace.factor);
        choice.places.push(site.worker.clone());
        if let Some(paces) = paces {
            site.explore(paces);
        }
        offers[index] = site.offer(needs);
    }
    let enough = if whole {
        choice.places.len() == count
    } else {
        !choice.places.is_empty()
    };
    enough.then_some(choice)
}

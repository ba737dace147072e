//! Which of the suitable places tasks are given.

use std::collections::BTreeSet;

use super::super::victims::{self, Victims};
use crate::batch::{Resources, StepSpec, TaskKey};
use crate::{RackId, WorkerId};

/// A worker as a place for tasks of one step.
#[derive(Debug, Clone)]
pub(in crate::batch::planner) struct Site {
    pub(in crate::batch::planner) worker: WorkerId,
    pub(in crate::batch::planner) rack: RackId,
    pub(in crate::batch::planner) room: Resources,
    /// Tasks of the step that may still be put there.
    pub(in crate::batch::planner) spread_left: u32,
    /// What being there costs a task, in core-milliseconds.
    pub(in crate::batch::planner) penalty: u64,
    /// Whether it is in another zone than the job's caller.
    pub(in crate::batch::planner) in_other_zone: bool,
    pub(in crate::batch::planner) victims: Victims,
}

/// Places found for tasks, and who has to give way.
#[derive(Debug, Clone, Default)]
pub(in crate::batch::planner) struct Choice {
    pub(in crate::batch::planner) cost: u64,
    /// How many of the places are in another zone than the job's caller.
    pub(in crate::batch::planner) in_other_zones: usize,
    pub(in crate::batch::planner) places: Vec<WorkerId>,
    pub(in crate::batch::planner) victims: Vec<(WorkerId, TaskKey)>,
}

/// Which workers are looked at.
#[derive(Debug, Clone, Copy)]
pub(in crate::batch::planner) struct Scope {
    /// Only those near the data, and a gang that wants it on one rack.
    pub(in crate::batch::planner) near: bool,
    /// Whether lower ranks may be made to give way.
    pub(in crate::batch::planner) preempts: bool,
}

/// Finds places for `count` tasks; for a gang all or none.
pub(super) fn search(
    step: &StepSpec,
    count: usize,
    scope: Scope,
    sites: &[Site],
) -> Option<Choice> {
    if count == 0 {
        return None;
    }
    let needs = step.room();
    if step.gang && step.same_rack && scope.near {
        let racks: BTreeSet<&RackId> = sites.iter().map(|site| &site.rack).collect();
        return racks
            .into_iter()
            .filter_map(|rack| {
                let here = sites.iter().filter(|site| site.rack == *rack);
                choose(here.cloned().collect(), &needs, count, true)
            })
            .min_by_key(|choice| (choice.cost, choice.in_other_zones));
    }
    choose(sites.to_vec(), &needs, count, step.gang)
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

/// Chooses a place for each of `count` tasks, the cheapest first.
fn choose(mut sites: Vec<Site>, needs: &Resources, count: usize, whole: bool) -> Option<Choice> {
    let mut choice = Choice::default();
    for _ in 0..count {
        let best = sites
            .iter()
            .enumerate()
            .filter(|(_, site)| site.spread_left > 0)
            .filter_map(|(index, site)| {
                let (cost, victims) = site.victims.to_fit(needs, &site.room)?;
                let left = site.room.minus(needs);
                let cost_there = cost + site.penalty;
                let rank = (
                    cost_there,
                    site.in_other_zone,
                    left.accelerators,
                    left.cpu_millis,
                );
                Some((rank, index, cost, victims))
            })
            .min_by_key(|(rank, index, ..)| (*rank, *index));
        let Some((_, index, cost, victims)) = best else {
            break;
        };
        choice.cost += cost + sites[index].penalty;
        choice.in_other_zones += usize::from(sites[index].in_other_zone);
        for victim in victims {
            let worker = sites[index].worker.clone();
            victims::give_way(&mut sites, &worker, &victim);
            choice.victims.push((worker, victim));
        }
        let site = &mut sites[index];
        site.room = site.room.minus(needs);
        site.spread_left -= 1;
        choice.places.push(site.worker.clone());
    }
    let enough = if whole {
        choice.places.len() == count
    } else {
        !choice.places.is_empty()
    };
    enough.then_some(choice)
}

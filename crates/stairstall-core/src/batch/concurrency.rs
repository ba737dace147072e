//! What a job needs at once, given which of its steps wait for which others.
//!
//! Two steps never run at the same time if one of them depends on the other, directly or through
//! steps between. So a job needs at most the largest sum over steps none of which depends on
//! another: the heaviest antichain of its graph. By Dilworth's theorem, with each step taken as
//! often as it has accelerators, that is the sum over all steps less the largest flow from steps to
//! steps that depend on them, where each step gives and takes at most its own accelerators.

use std::collections::VecDeque;

use super::BatchSpec;

impl BatchSpec {
    /// Returns the largest number of accelerators that one occurrence of the job may use at a time.
    ///
    /// # Examples
    ///
    /// ```
    /// use stairstall_core::batch::{BatchSpec, Resources, StepSpec};
    ///
    /// let step = |accelerators, depends_on| StepSpec {
    ///     count: 1,
    ///     needs: Resources::new(1_000, 1_000, accelerators),
    ///     depends_on,
    ///     ..StepSpec::default()
    /// };
    /// let spec = BatchSpec {
    ///     steps: vec![step(8, vec![]), step(8, vec![0])],
    ///     ..BatchSpec::default()
    /// };
    /// assert_eq!(spec.max_concurrent_accelerators(), 8);
    /// ```
    #[must_use]
    pub fn max_concurrent_accelerators(&self) -> u32 {
        let steps = self.steps.iter();
        let weights: Vec<u64> = steps
            .map(|step| u64::from(step.needs.accelerators) * u64::from(step.count))
            .collect();
        let total: u64 = weights.iter().sum();
        let flow = DependencyFlow::new(&weights, self.ancestors()).largest();
        u32::try_from(total - flow).unwrap_or(u32::MAX)
    }

    /// Returns, for each step, whether each other step has to be done before it.
    fn ancestors(&self) -> Vec<Vec<bool>> {
        let count = self.steps.len();
        let mut ancestors = vec![vec![false; count]; count];
        for (index, step) in self.steps.iter().enumerate() {
            let earlier = step.depends_on.iter().map(|earlier| *earlier as usize);
            // Steps depend on earlier ones alone, whose own ancestors are complete.
            for earlier in earlier.filter(|earlier| *earlier < index) {
                let (known, rest) = ancestors.split_at_mut(index);
                for (all, of_earlier) in rest[0].iter_mut().zip(&known[earlier]) {
                    *all |= of_earlier;
                }
                rest[0][earlier] = true;
            }
        }
        ancestors
    }
}

/// A flow from steps to the steps that depend on them.
struct DependencyFlow {
    /// For each step, whether each other step has to be done before it.
    ancestors: Vec<Vec<bool>>,
    /// What each step may still give to those that depend on it.
    to_give: Vec<u64>,
    /// What each step may still take.
    to_take: Vec<u64>,
    /// The flow so far, by giving and taking step.
    flow: Vec<Vec<u64>>,
}

/// How the search for more flow reached a taking step, and a giving one.
struct Reached {
    /// The step that gives to each taking step.
    giver_of: Vec<Option<usize>>,
    /// The taking step from which each giving step was reached, by taking back what it gives there.
    taker_before: Vec<Option<usize>>,
}

impl DependencyFlow {
    fn new(weights: &[u64], ancestors: Vec<Vec<bool>>) -> Self {
        Self {
            ancestors,
            to_give: weights.to_vec(),
            to_take: weights.to_vec(),
            flow: vec![vec![0; weights.len()]; weights.len()],
        }
    }

    /// Returns the largest flow: adds to it along shortest paths until there is none left.
    fn largest(mut self) -> u64 {
        let mut total = 0;
        while let Some((taker, reached)) = self.shortest_path() {
            total += self.add_along(taker, &reached);
        }
        total
    }

    /// Finds a step that may take more, along a path from a step that may give more.
    fn shortest_path(&self) -> Option<(usize, Reached)> {
        let count = self.to_give.len();
        let mut reached = Reached {
            giver_of: vec![None; count],
            taker_before: vec![None; count],
        };
        let mut is_seen: Vec<bool> = self.to_give.iter().map(|left| *left > 0).collect();
        let mut givers: VecDeque<usize> = (0..count).filter(|step| is_seen[*step]).collect();
        while let Some(giver) = givers.pop_front() {
            for taker in 0..count {
                if !self.ancestors[taker][giver] || reached.giver_of[taker].is_some() {
                    continue;
                }
                reached.giver_of[taker] = Some(giver);
                if self.to_take[taker] > 0 {
                    return Some((taker, reached));
                }
                for (other, is_seen) in is_seen.iter_mut().enumerate() {
                    if self.flow[other][taker] > 0 && !std::mem::replace(is_seen, true) {
                        reached.taker_before[other] = Some(taker);
                        givers.push_back(other);
                    }
                }
            }
        }
        None
    }

    /// Adds as much flow as fits along the path to a step; returns how much.
    fn add_along(&mut self, last_taker: usize, reached: &Reached) -> u64 {
        let mut steps = Vec::new();
        let mut taker = last_taker;
        let first_giver = loop {
            let Some(giver) = reached.giver_of[taker] else {
                return 0;
            };
            steps.push((giver, taker));
            match reached.taker_before[giver] {
                Some(before) => taker = before,
                None => break giver,
            }
        };
        let taken_back = steps.iter().filter_map(|(giver, _)| {
            let before = reached.taker_before[*giver]?;
            Some(self.flow[*giver][before])
        });
        let most = self.to_take[last_taker].min(self.to_give[first_giver]);
        let added = taken_back.fold(most, u64::min);
        for (giver, taker) in steps {
            self.flow[giver][taker] += added;
            if let Some(before) = reached.taker_before[giver] {
                self.flow[giver][before] -= added;
            }
        }
        self.to_take[last_taker] -= added;
        self.to_give[first_giver] -= added;
        added
    }
}

//! Histogram of the ratios of run time to estimate, and the completion curve estimated from it.

/// Number of bins of the histogram.
pub(super) const BINS: usize = 32;
/// Bins per octave; each bin is 19% wide.
const BINS_PER_OCTAVE: f64 = 4.0;
/// Middle of the lowest bin, as a power of two; that of the highest bin is near 2^4.
const LOWEST_OCTAVE: f64 = -4.0;

/// Evidence per bin, as a weighted number of runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct RatioHistogram {
    /// Weight of completed work, whose total time is known.
    pub(super) complete: [f32; BINS],
    /// Weight of right-censored work, which took at least this long.
    pub(super) censored: [f32; BINS],
}

impl Default for RatioHistogram {
    fn default() -> Self {
        Self {
            complete: [0.0; BINS],
            censored: [0.0; BINS],
        }
    }
}

impl RatioHistogram {
    /// Adds work that took `ratio` times its estimate.
    pub(super) fn add_complete(&mut self, ratio: f64) {
        self.complete[bin_of(ratio)] += 1.0;
    }

    /// Adds work that took at least `ratio` times its estimate. A ratio below the lowest bin is
    /// ignored because it carries no information.
    pub(super) fn add_censored(&mut self, ratio: f64) {
        if ratio > lower_edge(0) {
            self.censored[bin_of(ratio)] += 1.0;
        }
    }

    /// Multiplies all weights by a factor.
    pub(super) fn scale(&mut self, factor: f32) {
        for weight in self.complete.iter_mut().chain(&mut self.censored) {
            *weight *= factor;
        }
    }

    /// Returns the weight of completed work.
    pub(super) fn complete_weight(&self) -> f32 {
        self.complete.iter().sum()
    }

    /// Returns the weight of all evidence.
    pub(super) fn weight(&self) -> f32 {
        self.complete_weight() + self.censored.iter().sum::<f32>()
    }
}

/// Fraction of the work that is done by each ratio: the product-limit (Kaplan-Meier) estimate.
#[derive(Debug, Clone, Copy)]
pub(super) struct CompletionCurve {
    /// Fraction done by the upper edge of each bin.
    done: [f64; BINS],
    /// Highest bin that any work has reached.
    highest: usize,
}

impl CompletionCurve {
    /// Estimates the curve from two histograms together.
    pub(super) fn of(first: &RatioHistogram, second: &RatioHistogram) -> Self {
        let mut done = [0.0; BINS];
        let mut highest = 0;
        // Weight of the work at risk in each bin: what took at least as long, from the highest bin
        // down.
        let mut at_risk = [0.0; BINS];
        let mut longer = 0.0;
        for bin in (0..BINS).rev() {
            let complete = f64::from(first.complete[bin] + second.complete[bin]);
            let censored = f64::from(first.censored[bin] + second.censored[bin]);
            // Work censored within a bin is at risk for half of the bin on average.
            at_risk[bin] = longer + complete + censored / 2.0;
            longer += complete + censored;
            if complete + censored > 0.0 {
                highest = highest.max(bin);
            }
        }
        let mut remaining = 1.0;
        for bin in 0..BINS {
            let complete = f64::from(first.complete[bin] + second.complete[bin]);
            if complete > 0.0 {
                remaining *= 1.0 - complete / at_risk[bin];
            }
            done[bin] = 1.0 - remaining;
        }
        Self { done, highest }
    }

    /// Returns the ratio by which a fraction of the work is done, or the highest ratio that any
    /// work has reached if the curve ends below that fraction.
    pub(super) fn quantile(&self, fraction: f64) -> f64 {
        let mut before = 0.0;
        for (bin, done) in self.done.iter().enumerate() {
            if *done >= fraction {
                let within = (fraction - before) / (done - before);
                return lower_edge(bin) * (within / BINS_PER_OCTAVE).exp2();
            }
            before = *done;
        }
        lower_edge(self.highest + 1)
    }
}

/// Returns the bin of a ratio; ratios outside of all bins count in the nearest one.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the bins"
)]
fn bin_of(ratio: f64) -> usize {
    let above = (ratio.log2() - LOWEST_OCTAVE) * BINS_PER_OCTAVE;
    (above.round().max(0.0) as usize).min(BINS - 1)
}

/// Returns the lower edge of a bin. The middle of a bin is a whole number of quarter octaves, so
/// that a ratio of 1 is the middle of a bin and work that takes as long as estimated is reported as
/// such.
#[allow(clippy::cast_precision_loss, reason = "the number of bins is small")]
fn lower_edge(bin: usize) -> f64 {
    ((bin as f64 - 0.5) / BINS_PER_OCTAVE + LOWEST_OCTAVE).exp2()
}

use serde::{Deserialize, Serialize};

use super::Shape;

/// Free capacity of one worker that one request may use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FreeCapacity {
    /// Free accelerators, one bit each.
    pub mask: u64,
    /// Free processors.
    pub processors: u16,
    /// Free memory, in megabytes.
    pub memory_mb: u32,
    /// Accelerators that belong to a home block or are occupied by work that would have to
    /// be stopped first, one bit each. They are used only where no others are left.
    pub avoided: u64,
    /// Index of the rack in the zone.
    pub rack: u32,
    /// Position in the rack.
    pub position: u16,
}

/// Placement of one gang member: a worker and its accelerators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cell {
    /// Index of the worker in the inventory.
    pub worker: usize,
    /// Accelerators, one bit each.
    pub mask: u64,
}

/// Placement of a whole gang.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Block {
    /// One cell for each member, by member index.
    pub cells: Vec<Cell>,
}

/// How a block is chosen among the free ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fit {
    /// The first one, in order of rack and position.
    First,
    /// The one that leaves the fewest free accelerators beside it.
    Best,
    /// Like [`Fit::Best`], and among equals one that starts at a multiple of its size.
    #[default]
    Aligned,
}

/// Score of a candidate block; lower is better. Fields are compared in the order of declaration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Score {
    /// Number of avoided accelerators that the block may use.
    avoided: u32,
    /// Free capacity left beside the block: in members for adjacent workers, in accelerators for
    /// a single worker.
    leftover: u32,
    /// Whether the first position is not a multiple of the number of workers, rounded up to a power
    /// of two.
    misaligned: bool,
    /// Index of the first worker.
    start: usize,
}

impl Block {
    /// Finds a block for `shape` in the free capacity of workers sorted by rack and position.
    #[must_use]
    pub fn find(capacities: &[FreeCapacity], shape: &Shape, fit: Fit) -> Option<Self> {
        if shape.adjacent && shape.members > 1 {
            find_adjacent(capacities, shape, fit)
        } else {
            find_scattered(capacities, shape, fit)
        }
    }
}

/// Returns how many members fit on one worker, at most `limit`.
fn members_that_fit(capacity: &FreeCapacity, shape: &Shape, limit: u16) -> u16 {
    let by_processors = capacity
        .processors
        .checked_div(shape.processors)
        .unwrap_or(u16::MAX);
    let by_memory = capacity
        .memory_mb
        .checked_div(shape.memory_mb)
        .unwrap_or(u32::MAX);
    let by_memory = u16::try_from(by_memory).unwrap_or(u16::MAX);
    let bound = limit.min(by_processors).min(by_memory);
    if bound == 0 || shape.accelerators == 0 {
        return bound;
    }
    let found = aligned_masks(capacity.mask, shape.accelerators)
        .take(usize::from(bound))
        .count();
    u16::try_from(found).unwrap_or(u16::MAX)
}

/// Iterates over free groups of `size` accelerators.
///
/// A group starts at a multiple of its size rounded up to a power of two, as in a buddy
/// allocator, so that a smaller group never overlaps two larger ones.
fn aligned_masks(free: u64, size: u8) -> impl Iterator<Item = u64> {
    let step = usize::from(size.max(1).next_power_of_two());
    let group = if size >= 64 {
        u64::MAX
    } else {
        (1_u64 << size) - 1
    };
    (0..64)
        .step_by(step)
        .map(move |offset| group << offset)
        .filter(move |mask| free & mask == *mask)
}

/// Chooses the cells of `count` members on one worker.
///
/// Groups with few avoided accelerators come first, then groups whose buddy is in use, which
/// keeps larger groups whole.
fn choose_cells(worker: usize, capacity: &FreeCapacity, shape: &Shape, count: u16) -> Vec<Cell> {
    if shape.accelerators == 0 {
        return vec![Cell { worker, mask: 0 }; usize::from(count)];
    }
    let mut masks: Vec<u64> = aligned_masks(capacity.mask, shape.accelerators).collect();
    masks.sort_by_key(|mask| {
        (
            (mask & capacity.avoided).count_ones(),
            buddy_is_free(capacity.mask, *mask),
        )
    });
    masks.truncate(usize::from(count));
    masks
        .into_iter()
        .map(|mask| Cell { worker, mask })
        .collect()
}

/// Tells whether the buddy of a group, the other half of the next larger group, is wholly free.
fn buddy_is_free(free: u64, mask: u64) -> bool {
    let size = mask.count_ones().next_power_of_two();
    if size >= 64 {
        return false;
    }
    let offset = mask.trailing_zeros() / size * size;
    let buddy = ((1_u64 << size) - 1) << (offset ^ size);
    free & buddy == buddy
}

/// Finds adjacent workers that hold all members.
fn find_adjacent(capacities: &[FreeCapacity], shape: &Shape, fit: Fit) -> Option<Block> {
    let fitting: Vec<u16> = capacities
        .iter()
        .map(|capacity| members_that_fit(capacity, shape, shape.members))
        .collect();
    let spans_racks = needs_several_racks(capacities, shape);
    let mut best: Option<(Score, usize, usize)> = None;
    for start in 0..capacities.len() {
        let Some(end) = window_end(capacities, &fitting, start, shape.members, spans_racks) else {
            continue;
        };
        let score = score_window(capacities, &fitting, start, end, shape, spans_racks);
        let better = best
            .as_ref()
            .is_none_or(|(b, _, _)| fit != Fit::First && score < *b);
        if better {
            best = Some((score.for_fit(fit), start, end));
        }
        if fit == Fit::First {
            break;
        }
    }
    let (_, start, end) = best?;
    let mut cells = Vec::with_capacity(usize::from(shape.members));
    for worker in start..end {
        let left = shape.members - u16::try_from(cells.len()).unwrap_or(shape.members);
        cells.extend(choose_cells(
            worker,
            &capacities[worker],
            shape,
            fitting[worker].min(left),
        ));
    }
    Some(Block { cells })
}

impl Score {
    const fn for_fit(mut self, fit: Fit) -> Self {
        if !matches!(fit, Fit::Aligned) {
            self.misaligned = false;
        }
        self
    }
}

/// Returns the end (exclusive) of the shortest window from `start` that holds `members`.
fn window_end(
    capacities: &[FreeCapacity],
    fitting: &[u16],
    start: usize,
    members: u16,
    spans_racks: bool,
) -> Option<usize> {
    if fitting[start] == 0 {
        return None;
    }
    if spans_racks
        && capacities[start].position != first_position(capacities, capacities[start].rack)
    {
        return None;
    }
    let mut found = fitting[start];
    let mut end = start + 1;
    while found < members {
        let (before, next) = (capacities[end - 1], capacities.get(end)?);
        if fitting[end] == 0 || !are_adjacent(&before, next, spans_racks) {
            return None;
        }
        found = found.saturating_add(fitting[end]);
        end += 1;
    }
    Some(end)
}

const fn are_adjacent(before: &FreeCapacity, next: &FreeCapacity, spans_racks: bool) -> bool {
    if before.rack == next.rack {
        return next.position == before.position + 1;
    }
    spans_racks && next.rack == before.rack + 1
}

fn first_position(capacities: &[FreeCapacity], rack: u32) -> u16 {
    let first = capacities.partition_point(|capacity| capacity.rack < rack);
    capacities
        .get(first)
        .map_or(0, |capacity| capacity.position)
}

/// Tells whether the shape needs more workers than any rack has.
fn needs_several_racks(capacities: &[FreeCapacity], shape: &Shape) -> bool {
    let per_worker = (64 / u32::from(shape.accelerators.max(1).next_power_of_two())).max(1);
    let most_free = capacities
        .iter()
        .map(|capacity| capacity.mask.count_ones())
        .max()
        .unwrap_or(0);
    let per_worker = per_worker.min((most_free / u32::from(shape.accelerators.max(1))).max(1));
    let needed = u32::from(shape.members).div_ceil(per_worker);
    let largest = capacities
        .chunk_by(|a, b| a.rack == b.rack)
        .map(<[FreeCapacity]>::len)
        .max()
        .unwrap_or(0);
    usize::try_from(needed).is_ok_and(|needed| needed > largest)
}

/// Scores the window of workers from `start` to `end` (exclusive). The leftover is the number of
/// further members that would fit on the window and on the free workers adjacent to it.
fn score_window(
    capacities: &[FreeCapacity],
    fitting: &[u16],
    start: usize,
    end: usize,
    shape: &Shape,
    spans_racks: bool,
) -> Score {
    let avoided = capacities[start..end]
        .iter()
        .map(|capacity| (capacity.mask & capacity.avoided).count_ones())
        .sum();
    let mut first = start;
    while first > 0
        && fitting[first - 1] > 0
        && are_adjacent(&capacities[first - 1], &capacities[first], spans_racks)
    {
        first -= 1;
    }
    let mut last = end;
    while last < capacities.len()
        && fitting[last] > 0
        && are_adjacent(&capacities[last - 1], &capacities[last], spans_racks)
    {
        last += 1;
    }
    let free: u32 = fitting[first..last].iter().map(|c| u32::from(*c)).sum();
    let workers = u16::try_from((end - start).next_power_of_two()).unwrap_or(1);
    Score {
        avoided,
        leftover: free.saturating_sub(u32::from(shape.members)),
        misaligned: !capacities[start].position.is_multiple_of(workers),
        start,
    }
}

/// Finds cells on any workers. Except with [`Fit::First`], among workers that need equally many
/// avoided accelerators those that hold all members come first.
fn find_scattered(capacities: &[FreeCapacity], shape: &Shape, fit: Fit) -> Option<Block> {
    let mut candidates: Vec<(Score, u16)> = capacities
        .iter()
        .enumerate()
        .filter_map(|(index, capacity)| {
            let count = members_that_fit(capacity, shape, shape.members);
            (count > 0).then(|| (score_worker(index, capacity, shape, count), count))
        })
        .collect();
    match fit {
        Fit::First => {}
        Fit::Best | Fit::Aligned => {
            let partial = |count: u16| count < shape.members;
            candidates.sort_by_key(|(score, count)| (score.avoided, partial(*count), *score));
        }
    }
    let mut cells = Vec::with_capacity(usize::from(shape.members));
    for (score, count) in candidates {
        let left = shape.members - u16::try_from(cells.len()).unwrap_or(shape.members);
        let capacity = &capacities[score.start];
        cells.extend(choose_cells(score.start, capacity, shape, count.min(left)));
        if cells.len() >= usize::from(shape.members) {
            return Some(Block { cells });
        }
    }
    None
}

/// Scores one worker; fewer accelerators left free on it are better.
fn score_worker(index: usize, capacity: &FreeCapacity, shape: &Shape, count: u16) -> Score {
    let used = u32::from(count) * u32::from(shape.accelerators);
    let preferred = (capacity.mask & !capacity.avoided).count_ones();
    let leftover = capacity.mask.count_ones().saturating_sub(used);
    Score {
        avoided: used.saturating_sub(preferred),
        leftover,
        misaligned: false,
        start: index,
    }
}

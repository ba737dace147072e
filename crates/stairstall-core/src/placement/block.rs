use serde::{Deserialize, Serialize};

use super::Shape;

/// What one worker can offer to one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FreeCapacity {
    /// Free accelerators, one bit each.
    pub mask: u64,
    /// Free processors.
    pub processors: u16,
    /// Free memory, in megabytes.
    pub memory_mb: u32,
    /// Accelerators that belong to somebody's home block or have to be cleared; avoided.
    pub avoided: u64,
    /// Which rack, counted along the zone.
    pub rack: u32,
    /// Place in the rack.
    pub position: u16,
}

/// One member's place: a worker, counted along the zone, and its accelerators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cell {
    /// Index of the worker in the inventory.
    pub worker: usize,
    /// Accelerators, one bit each.
    pub mask: u64,
}

/// The places of a whole gang.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Block {
    /// One cell for each member, in order of member.
    pub cells: Vec<Cell>,
}

/// How a block is chosen among those that are free.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fit {
    /// The first along the zone.
    First,
    /// The one that leaves the smallest rest.
    Best,
    /// The one that leaves the smallest rest and starts at a multiple of its size.
    #[default]
    Aligned,
}

/// Ranks a candidate; lower is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Score {
    costly: u32,
    rest: u32,
    misaligned: bool,
    start: usize,
}

impl Block {
    /// Finds a block for `shape` in the rooms along a zone.
    #[must_use]
    pub fn find(rooms: &[FreeCapacity], shape: &Shape, fit: Fit) -> Option<Self> {
        if shape.adjacent && shape.members > 1 {
            find_adjacent(rooms, shape, fit)
        } else {
            find_scattered(rooms, shape, fit)
        }
    }
}

/// How many members fit into one room, bounded by `most`.
fn member_count(room: &FreeCapacity, shape: &Shape, most: u16) -> u16 {
    let by_processors = room
        .processors
        .checked_div(shape.processors)
        .unwrap_or(u16::MAX);
    let by_memory = room
        .memory_mb
        .checked_div(shape.memory_mb)
        .unwrap_or(u32::MAX);
    let by_memory = u16::try_from(by_memory).unwrap_or(u16::MAX);
    let bound = most.min(by_processors).min(by_memory);
    if bound == 0 || shape.accelerators == 0 {
        return bound;
    }
    let found = aligned_masks(room.mask, shape.accelerators)
        .take(usize::from(bound))
        .count();
    u16::try_from(found).unwrap_or(u16::MAX)
}

/// Iterates over free groups of `size` accelerators that start at a multiple of their
/// size rounded up to a power of two, so that groups nest instead of straddling.
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

/// Takes the cells of `count` members out of one room; cheap accelerators first.
fn take_cells(worker: usize, room: &FreeCapacity, shape: &Shape, count: u16) -> Vec<Cell> {
    if shape.accelerators == 0 {
        return vec![Cell { worker, mask: 0 }; usize::from(count)];
    }
    let mut masks: Vec<u64> = aligned_masks(room.mask, shape.accelerators).collect();
    masks.sort_by_key(|mask| {
        (
            (mask & room.avoided).count_ones(),
            buddy_is_free(room.mask, *mask),
        )
    });
    masks.truncate(usize::from(count));
    masks
        .into_iter()
        .map(|mask| Cell { worker, mask })
        .collect()
}

/// Tells whether the other half of the group's twice as large group is wholly free.
fn buddy_is_free(free: u64, mask: u64) -> bool {
    let size = mask.count_ones().next_power_of_two();
    if size >= 64 {
        return false;
    }
    let offset = mask.trailing_zeros() / size * size;
    let buddy = ((1_u64 << size) - 1) << (offset ^ size);
    free & buddy == buddy
}

/// Finds neighbouring workers that hold all members.
fn find_adjacent(rooms: &[FreeCapacity], shape: &Shape, fit: Fit) -> Option<Block> {
    let counts: Vec<u16> = rooms
        .iter()
        .map(|r| member_count(r, shape, shape.members))
        .collect();
    let spans_racks = needs_several_racks(rooms, shape);
    let mut best: Option<(Score, usize, usize)> = None;
    for start in 0..rooms.len() {
        let Some(end) = window_end(rooms, &counts, start, shape.members, spans_racks) else {
            continue;
        };
        let score = score_window(rooms, &counts, start, end, shape, spans_racks);
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
        cells.extend(take_cells(
            worker,
            &rooms[worker],
            shape,
            counts[worker].min(left),
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

/// Returns the end of the shortest window from `start` that holds `members`.
fn window_end(
    rooms: &[FreeCapacity],
    counts: &[u16],
    start: usize,
    members: u16,
    spans_racks: bool,
) -> Option<usize> {
    if counts[start] == 0 {
        return None;
    }
    if spans_racks && rooms[start].position != first_position(rooms, rooms[start].rack) {
        return None;
    }
    let mut found = counts[start];
    let mut end = start + 1;
    while found < members {
        let (before, next) = (rooms[end - 1], rooms.get(end)?);
        if counts[end] == 0 || !neighbours(&before, next, spans_racks) {
            return None;
        }
        found = found.saturating_add(counts[end]);
        end += 1;
    }
    Some(end)
}

const fn neighbours(before: &FreeCapacity, next: &FreeCapacity, spans_racks: bool) -> bool {
    if before.rack == next.rack {
        return next.position == before.position + 1;
    }
    spans_racks && next.rack == before.rack + 1
}

fn first_position(rooms: &[FreeCapacity], rack: u32) -> u16 {
    let first = rooms.partition_point(|room| room.rack < rack);
    rooms.get(first).map_or(0, |room| room.position)
}

/// Tells whether no rack has as many workers as the shape needs at the least.
fn needs_several_racks(rooms: &[FreeCapacity], shape: &Shape) -> bool {
    let per_worker = (64 / u32::from(shape.accelerators.max(1).next_power_of_two())).max(1);
    let most_free = rooms.iter().map(|r| r.mask.count_ones()).max().unwrap_or(0);
    let per_worker = per_worker.min((most_free / u32::from(shape.accelerators.max(1))).max(1));
    let least = u32::from(shape.members).div_ceil(per_worker);
    let largest = rooms
        .chunk_by(|a, b| a.rack == b.rack)
        .map(<[FreeCapacity]>::len)
        .max()
        .unwrap_or(0);
    usize::try_from(least).is_ok_and(|least| least > largest)
}

fn score_window(
    rooms: &[FreeCapacity],
    counts: &[u16],
    start: usize,
    end: usize,
    shape: &Shape,
    spans_racks: bool,
) -> Score {
    let costly = rooms[start..end]
        .iter()
        .map(|r| (r.mask & r.avoided).count_ones())
        .sum();
    let mut first = start;
    while first > 0
        && counts[first - 1] > 0
        && neighbours(&rooms[first - 1], &rooms[first], spans_racks)
    {
        first -= 1;
    }
    let mut last = end;
    while last < rooms.len()
        && counts[last] > 0
        && neighbours(&rooms[last - 1], &rooms[last], spans_racks)
    {
        last += 1;
    }
    let free: u32 = counts[first..last].iter().map(|c| u32::from(*c)).sum();
    let workers = u16::try_from((end - start).next_power_of_two()).unwrap_or(1);
    Score {
        costly,
        rest: free.saturating_sub(u32::from(shape.members)),
        misaligned: !rooms[start].position.is_multiple_of(workers),
        start,
    }
}

/// Finds places on any workers: one that holds all members if there is one, few else.
fn find_scattered(rooms: &[FreeCapacity], shape: &Shape, fit: Fit) -> Option<Block> {
    let mut candidates: Vec<(Score, u16)> = rooms
        .iter()
        .enumerate()
        .filter_map(|(index, room)| {
            let count = member_count(room, shape, shape.members);
            (count > 0).then(|| (score_room(index, room, shape, count), count))
        })
        .collect();
    match fit {
        Fit::First => {}
        Fit::Best | Fit::Aligned => {
            let whole = |count: u16| count < shape.members;
            candidates.sort_by_key(|(score, count)| (score.costly, whole(*count), *score));
        }
    }
    let mut cells = Vec::with_capacity(usize::from(shape.members));
    for (score, count) in candidates {
        let left = shape.members - u16::try_from(cells.len()).unwrap_or(shape.members);
        let room = &rooms[score.start];
        cells.extend(take_cells(score.start, room, shape, count.min(left)));
        if cells.len() >= usize::from(shape.members) {
            return Some(Block { cells });
        }
    }
    None
}

/// Scores one worker: the fewer accelerators stay free on it, the better.
fn score_room(index: usize, room: &FreeCapacity, shape: &Shape, count: u16) -> Score {
    let taken = u32::from(count) * u32::from(shape.accelerators);
    let cheap = (room.mask & !room.avoided).count_ones();
    let rest = room.mask.count_ones().saturating_sub(taken);
    Score {
        costly: taken.saturating_sub(cheap),
        rest,
        misaligned: false,
        start: index,
    }
}

use std::collections::{BTreeMap, BTreeSet};

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::{Block, Cell, Fit, Inventory, Shape};
use crate::config::Guarantee;
use crate::{CustomerId, GuaranteeId, WorkerId};

quick_error! {
    /// The guarantees of a zone can't all be satisfied at once.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum UnplaceableGuarantee {
        /// No home block was found for this guarantee beside those of the others.
        Guarantee(id: GuaranteeId, shape: Shape) {
            display("guarantee {id} ({shape}) finds no block beside the other guarantees and the work that can't give way")
        }
    }
}

/// One cell of a home block.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeCell {
    /// The worker.
    pub worker: WorkerId,
    /// Accelerators, one bit each.
    pub mask: u64,
}

/// The home block of one guarantee.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeBlock {
    /// The guarantee.
    pub guarantee: Guarantee,
    /// Its cells, by member index.
    pub cells: Vec<HomeCell>,
}

/// The home blocks of all guarantees of a zone.
///
/// Home blocks never overlap one another or work that is not preemptible, so all guaranteed
/// jobs can start at the same time. When a worker is lost, the home blocks with cells on it
/// move to other workers.
#[derive(Debug, Clone, Default)]
pub struct HomeBlocks {
    homes: BTreeMap<GuaranteeId, HomeBlock>,
    broken: BTreeSet<GuaranteeId>,
}

impl HomeBlocks {
    /// Creates an empty set of home blocks.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the home blocks of a customer.
    pub fn of_customer<'a>(
        &'a self,
        customer: &'a CustomerId,
    ) -> impl Iterator<Item = &'a HomeBlock> {
        self.homes
            .values()
            .filter(move |home| home.guarantee.customer == *customer)
    }

    /// Iterates over all home blocks.
    pub fn iter(&self) -> impl Iterator<Item = &HomeBlock> {
        self.homes.values()
    }

    /// Restores home blocks that an earlier holder stored; those on unknown workers are dropped.
    pub fn restore(&mut self, homes: Vec<HomeBlock>, inventory: &mut Inventory) {
        for home in homes {
            let known = |c: &HomeCell| inventory.index_of(&c.worker).is_some();
            if !home.cells.iter().all(known) {
                continue;
            }
            for cell in &home.cells {
                if let Some(index) = inventory.index_of(&cell.worker) {
                    let (name, shape) = (home.guarantee.name.clone(), home.guarantee.shape);
                    inventory.add_home_cell(index, name, cell.mask, shape);
                }
            }
            self.homes.insert(home.guarantee.name.clone(), home);
        }
    }

    /// Returns the home block of one guarantee.
    #[must_use]
    pub fn get(&self, guarantee: &GuaranteeId) -> Option<&HomeBlock> {
        self.homes.get(guarantee)
    }

    /// Returns the guarantees that have no home block at present. Operators are alerted to them.
    #[must_use]
    pub const fn broken(&self) -> &BTreeSet<GuaranteeId> {
        &self.broken
    }

    /// Checks whether all `guarantees` could get a home block, without changing anything.
    ///
    /// # Errors
    ///
    /// Returns the first guarantee for which no home block is found.
    pub fn check(
        &self,
        guarantees: &[Guarantee],
        inventory: &Inventory,
    ) -> Result<(), UnplaceableGuarantee> {
        let mut homes = self.clone();
        let mut inventory = inventory.clone();
        match homes.update(guarantees, &mut inventory).into_iter().next() {
            None => Ok(()),
            Some(id) => {
                let shape = guarantees.iter().find(|g| g.name == id).map(|g| g.shape);
                Err(UnplaceableGuarantee::Guarantee(
                    id,
                    shape.unwrap_or(Shape::new(0, 0)),
                ))
            }
        }
    }

    /// Replaces the set of guarantees. Valid home blocks stay, and missing ones are placed.
    ///
    /// If some can't be placed, home blocks that are not in use may be moved.
    ///
    /// Returns the guarantees for which no home block is found. Nothing is set aside for them.
    pub fn update(
        &mut self,
        guarantees: &[Guarantee],
        inventory: &mut Inventory,
    ) -> Vec<GuaranteeId> {
        self.remove_invalid(guarantees, inventory);
        let mut missing = self.place_missing(guarantees, inventory);
        if !missing.is_empty() {
            missing = self.repack(guarantees, inventory, missing);
        }
        self.broken = missing.iter().cloned().collect();
        missing
    }

    /// Removes home blocks whose guarantee was removed or changed, or that have cells on unusable
    /// workers.
    fn remove_invalid(&mut self, guarantees: &[Guarantee], inventory: &mut Inventory) {
        let valid = |home: &HomeBlock| {
            guarantees
                .iter()
                .any(|g| g.name == home.guarantee.name && same_terms(g, &home.guarantee))
                && home.cells.iter().all(|c| inventory.is_usable(&c.worker))
        };
        let invalid: Vec<GuaranteeId> = self
            .homes
            .values()
            .filter(|h| !valid(h))
            .map(|h| h.guarantee.name.clone())
            .collect();
        for id in invalid {
            self.homes.remove(&id);
            inventory.remove_home_cells(&id);
        }
    }

    /// Finds home blocks for guarantees that have none, largest first.
    fn place_missing(
        &mut self,
        guarantees: &[Guarantee],
        inventory: &mut Inventory,
    ) -> Vec<GuaranteeId> {
        let mut waiting: Vec<&Guarantee> = guarantees
            .iter()
            .filter(|g| !self.homes.contains_key(&g.name))
            .collect();
        waiting.sort_by_key(|g| std::cmp::Reverse((g.shape.total_accelerators(), g.shape.members)));
        let mut missing = Vec::new();
        for guarantee in waiting {
            let capacities = inventory.free_for_homes();
            match Block::find(&capacities, &guarantee.shape, Fit::Aligned) {
                Some(block) => self.set_home(guarantee, &block.cells, inventory),
                None => missing.push(guarantee.name.clone()),
            }
        }
        missing
    }

    /// Places all home blocks again that their owners do not use, so that the missing ones may fit.
    ///
    /// Restores the previous blocks unless fewer guarantees are then without one.
    fn repack(
        &mut self,
        guarantees: &[Guarantee],
        inventory: &mut Inventory,
        missing: Vec<GuaranteeId>,
    ) -> Vec<GuaranteeId> {
        let (old_homes, old_inventory) = (self.clone(), inventory.clone());
        let movable: Vec<GuaranteeId> = self
            .homes
            .keys()
            .filter(|id| !is_in_use(id, inventory))
            .cloned()
            .collect();
        for id in movable {
            self.homes.remove(&id);
            inventory.remove_home_cells(&id);
        }
        let still_missing = self.place_missing(guarantees, inventory);
        if still_missing.len() < missing.len() {
            return still_missing;
        }
        (*self, *inventory) = (old_homes, old_inventory);
        missing
    }

    /// Records the home block of a guarantee here and in the inventory.
    fn set_home(&mut self, guarantee: &Guarantee, cells: &[Cell], inventory: &mut Inventory) {
        let mut home_cells = Vec::with_capacity(cells.len());
        for cell in cells {
            let Some(worker) = inventory.worker_at(cell.worker).map(|w| w.id.clone()) else {
                continue;
            };
            inventory.add_home_cell(
                cell.worker,
                guarantee.name.clone(),
                cell.mask,
                guarantee.shape,
            );
            home_cells.push(HomeCell {
                worker,
                mask: cell.mask,
            });
        }
        let home = HomeBlock {
            guarantee: guarantee.clone(),
            cells: home_cells,
        };
        self.homes.insert(guarantee.name.clone(), home);
    }
}

/// Tells whether two guarantees have the same customer, shape and zone.
fn same_terms(a: &Guarantee, b: &Guarantee) -> bool {
    a.customer == b.customer && a.shape == b.shape && a.zone == b.zone
}

fn is_in_use(guarantee: &GuaranteeId, inventory: &Inventory) -> bool {
    (0..inventory.len()).any(|i| {
        inventory
            .allocations(i)
            .iter()
            .any(|allocation| allocation.home.as_ref() == Some(guarantee))
    })
}

impl HomeBlock {
    /// Returns free cells for a guaranteed job of `shape`, or `None` if there are too few.
    #[must_use]
    pub fn find_free(&self, shape: &Shape, inventory: &Inventory) -> Option<Block> {
        if !shape.fits_in(&self.guarantee.shape) {
            return None;
        }
        let owner = Some(&self.guarantee.name);
        let free = self.cells.iter().filter_map(|cell| {
            let index = inventory.index_of(&cell.worker)?;
            let in_use = inventory.allocations(index).iter().any(|allocation| {
                allocation.home.as_ref() == owner && allocation.mask & cell.mask != 0
            });
            let usable = inventory.is_usable(&cell.worker);
            (usable && !in_use).then(|| Cell {
                worker: index,
                mask: lowest(cell.mask, shape.accelerators),
            })
        });
        let cells: Vec<Cell> = free.take(usize::from(shape.members)).collect();
        (cells.len() == usize::from(shape.members)).then_some(Block { cells })
    }
}

/// Returns the lowest `count` bits that are set in `mask`.
const fn lowest(mask: u64, count: u8) -> u64 {
    let mut rest = mask;
    let mut found = 0;
    let mut left = count;
    while left > 0 && rest != 0 {
        let bit = rest & rest.wrapping_neg();
        found |= bit;
        rest &= !bit;
        left -= 1;
    }
    found
}

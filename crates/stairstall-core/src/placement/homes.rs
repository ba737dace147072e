use std::collections::{BTreeMap, BTreeSet};

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::{Block, Cell, Fit, Inventory, Shape};
use crate::config::Guarantee;
use crate::{CustomerId, GuaranteeId, WorkerId};

quick_error! {
    /// No way was found to keep every guarantee at once.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum UnplaceableGuarantee {
        /// This guarantee found no home block beside the others.
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
    /// Its cells, in order of member.
    pub cells: Vec<HomeCell>,
}

/// A home block for each guarantee: the witness that all can be claimed at once.
///
/// Home blocks never overlap one another, nor work that can't give way. A
/// worker that is lost moves the home blocks that it carried.
#[derive(Debug, Clone, Default)]
pub struct HomeBlocks {
    homes: BTreeMap<GuaranteeId, HomeBlock>,
    broken: BTreeSet<GuaranteeId>,
}

impl HomeBlocks {
    /// Creates a witness for no guarantees.
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

    /// Takes home blocks that an earlier holder kept; those on unknown workers are dropped.
    pub fn restore(&mut self, homes: Vec<HomeBlock>, inventory: &mut Inventory) {
        for home in homes {
            let known = |c: &HomeCell| inventory.index_of(&c.worker).is_some();
            if !home.cells.iter().all(known) {
                continue;
            }
            for cell in &home.cells {
                if let Some(index) = inventory.index_of(&cell.worker) {
                    let (name, shape) = (home.guarantee.name.clone(), home.guarantee.shape);
                    inventory.put_home(index, name, cell.mask, shape);
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

    /// Returns the guarantees that have no home block now: operators have to know.
    #[must_use]
    pub const fn broken(&self) -> &BTreeSet<GuaranteeId> {
        &self.broken
    }

    /// Says whether `guarantees` could all be kept, without changing anything.
    ///
    /// # Errors
    ///
    /// Names the first guarantee that finds no home block.
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

    /// Keeps `guarantees` from now on: sound home blocks stay, others are found anew.
    ///
    /// Returns the guarantees that find no home block; nothing of theirs is
    /// kept, and what they had is not lent to work that can't give way.
    pub fn update(
        &mut self,
        guarantees: &[Guarantee],
        inventory: &mut Inventory,
    ) -> Vec<GuaranteeId> {
        self.drop_unsound(guarantees, inventory);
        let mut missing = self.place_missing(guarantees, inventory);
        if !missing.is_empty() {
            missing = self.place_afresh(guarantees, inventory, missing);
        }
        self.broken = missing.iter().cloned().collect();
        missing
    }

    /// Forgets home blocks that are not asked for, changed, or stand on lost workers.
    fn drop_unsound(&mut self, guarantees: &[Guarantee], inventory: &mut Inventory) {
        let sound = |home: &HomeBlock| {
            guarantees
                .iter()
                .any(|g| g.name == home.guarantee.name && same_claim(g, &home.guarantee))
                && home.cells.iter().all(|c| inventory.is_usable(&c.worker))
        };
        let unsound: Vec<GuaranteeId> = self
            .homes
            .values()
            .filter(|h| !sound(h))
            .map(|h| h.guarantee.name.clone())
            .collect();
        for id in unsound {
            self.homes.remove(&id);
            inventory.clear_home(&id);
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
            let rooms = inventory.free_for_homes();
            match Block::find(&rooms, &guarantee.shape, Fit::Aligned) {
                Some(block) => self.settle(guarantee, &block.cells, inventory),
                None => missing.push(guarantee.name.clone()),
            }
        }
        missing
    }

    /// Packs all home blocks again, but for those that their owners use; falls back where that is no better.
    fn place_afresh(
        &mut self,
        guarantees: &[Guarantee],
        inventory: &mut Inventory,
        missing: Vec<GuaranteeId>,
    ) -> Vec<GuaranteeId> {
        let (old_homes, old_inventory) = (self.clone(), inventory.clone());
        let movable: Vec<GuaranteeId> = self
            .homes
            .keys()
            .filter(|id| !is_claimed(id, inventory))
            .cloned()
            .collect();
        for id in movable {
            self.homes.remove(&id);
            inventory.clear_home(&id);
        }
        let still_missing = self.place_missing(guarantees, inventory);
        if still_missing.len() < missing.len() {
            return still_missing;
        }
        (*self, *inventory) = (old_homes, old_inventory);
        missing
    }

    fn settle(&mut self, guarantee: &Guarantee, cells: &[Cell], inventory: &mut Inventory) {
        let mut home_cells = Vec::with_capacity(cells.len());
        for cell in cells {
            let Some(worker) = inventory.worker_at(cell.worker).map(|w| w.id.clone()) else {
                continue;
            };
            inventory.put_home(
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

fn same_claim(a: &Guarantee, b: &Guarantee) -> bool {
    a.customer == b.customer && a.shape == b.shape && a.zone == b.zone
}

fn is_claimed(guarantee: &GuaranteeId, inventory: &Inventory) -> bool {
    (0..inventory.len()).any(|i| {
        inventory
            .allocations(i)
            .iter()
            .any(|u| u.home.as_ref() == Some(guarantee))
    })
}

impl HomeBlock {
    /// Returns cells for `shape` that no claim of the owner uses, or none if they are too few.
    #[must_use]
    pub fn find_free(&self, shape: &Shape, inventory: &Inventory) -> Option<Block> {
        if !shape.fits_in(&self.guarantee.shape) {
            return None;
        }
        let owner = Some(&self.guarantee.name);
        let free = self.cells.iter().filter_map(|cell| {
            let index = inventory.index_of(&cell.worker)?;
            let taken = inventory
                .allocations(index)
                .iter()
                .any(|u| u.home.as_ref() == owner && u.mask & cell.mask != 0);
            let usable = inventory.is_usable(&cell.worker);
            (usable && !taken).then(|| Cell {
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
    let mut taken = 0;
    let mut left = count;
    while left > 0 && rest != 0 {
        let bit = rest & rest.wrapping_neg();
        taken |= bit;
        rest &= !bit;
        left -= 1;
    }
    taken
}

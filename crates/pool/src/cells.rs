//! Divides the workers of each zone into cells, and finds the daemon that owns each cell.
//!
//! The store deals the partitions of one topic a zone to the daemons of that zone. A cell is
//! owned by the daemon that holds one certain partition. The more workers a zone has, the more
//! cells it has: one owner packs best, but its processor bounds how many workers it can serve.

use std::fmt;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

/// Workers above which a zone is cut into twice as many cells.
const CELL_WORKERS: usize = 40;
/// The most cells of a zone.
const MAX_CELLS: u32 = 8;
/// The distance between the partitions that stand for cells. It is odd, so that neighbouring
/// cells go to different daemons whether the store deals in turn or in runs.
const PARTITION_STEP: u32 = 9;

/// One cell of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Cell {
    /// The zone.
    pub zone: Rc<str>,
    /// The partition that stands for it.
    pub partition: u32,
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.zone, self.partition)
    }
}

/// Gives the cells of a zone with so many workers.
pub fn cells_of(zone: &str, workers: usize, partitions: u32) -> Vec<Cell> {
    let cell = |number| Cell { zone: Rc::from(zone), partition: partition_of(number, partitions) };
    (0..cell_count(workers)).map(cell).collect()
}

/// Gives the number of cells of a zone with so many workers.
pub fn cell_count(workers: usize) -> u32 {
    let mut cells = 1;
    while cells < MAX_CELLS && workers > CELL_WORKERS * cells as usize {
        cells *= 2;
    }
    cells
}

/// Gives the partition that stands for a cell.
pub const fn partition_of(cell: u32, partitions: u32) -> u32 {
    (cell * PARTITION_STEP) % partitions
}

/// Tells whether a partition stands for a cell of a zone with enough workers.
pub fn may_stand_for_cell(partition: u32, partitions: u32) -> bool {
    (0..MAX_CELLS).any(|cell| partition_of(cell, partitions) == partition)
}

/// Gives the cell of a worker, the same at every daemon that knows the same workers.
pub fn cell_of(worker_id: &str, cells: u32) -> u32 {
    (fnv(worker_id) % u64::from(cells.max(1))) as u32
}

/// Hashes a text; 64-bit FNV-1a, so that all versions of the program agree.
fn fnv(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325, step);
    hash ^ (hash >> 32)
}

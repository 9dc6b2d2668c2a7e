//! Divides the workers of each zone into cells, and maps each cell to a partition of the store.
//!
//! The store has one topic for each zone and assigns its partitions to the daemons of the zone. A
//! cell is owned by the daemon that holds the cell's partition. The number of cells grows with the
//! number of workers: a single owner packs tasks best, but its CPU limits how many workers it can
//! serve.

use std::fmt;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

/// Mean number of workers in a cell above which the number of cells of a zone is doubled.
const MAX_WORKERS_PER_CELL: usize = 40;
/// Maximum number of cells in a zone.
const MAX_CELLS: u32 = 8;
/// Distance between the partitions of consecutive cells. It is odd, so that consecutive cells go to
/// different daemons whether the store assigns partitions round-robin or in contiguous ranges.
const PARTITION_STRIDE: u32 = 9;

/// A cell: a shard of a zone's workers that one daemon owns.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Cell {
    /// Availability zone of the workers.
    pub zone: Rc<str>,
    /// Partition of the zone's topic whose holder owns the cell.
    pub partition: u32,
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.zone, self.partition)
    }
}

/// Returns the cells of a zone with `workers` workers and a topic of `partitions` partitions.
pub fn cells_of_zone(zone: &str, workers: usize, partitions: u32) -> Vec<Cell> {
    let cell =
        |number| Cell { zone: Rc::from(zone), partition: partition_of_cell(number, partitions) };
    (0..cell_count(workers)).map(cell).collect()
}

/// Returns the number of cells of a zone with `workers` workers.
pub fn cell_count(workers: usize) -> u32 {
    let mut cells = 1;
    while cells < MAX_CELLS && workers > MAX_WORKERS_PER_CELL * cells as usize {
        cells *= 2;
    }
    cells
}

/// Returns the partition whose holder owns the cell with index `cell`.
pub const fn partition_of_cell(cell: u32, partitions: u32) -> u32 {
    (cell * PARTITION_STRIDE) % partitions
}

/// Whether a partition is mapped to a cell in a zone with the maximum number of cells.
pub fn is_cell_partition(partition: u32, partitions: u32) -> bool {
    (0..MAX_CELLS).any(|cell| partition_of_cell(cell, partitions) == partition)
}

/// Returns the index of a worker's cell. All daemons that know the same workers agree on it.
pub fn cell_of_worker(worker_id: &str, cells: u32) -> u32 {
    (fnv1a(worker_id) % u64::from(cells.max(1))) as u32
}

/// 64-bit FNV-1a hash, with the upper half folded into the lower. A fixed function, so that all
/// versions of the program agree on the cells of workers.
fn fnv1a(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325, step);
    hash ^ (hash >> 32)
}

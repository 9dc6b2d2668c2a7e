//! Tests the number of cells of a zone and the partitions that they map to.

use std::collections::BTreeSet;

use pool::cells::{cell_count, cells_of_zone, is_cell_partition};

const PARTITIONS: u32 = 32;

#[test]
fn the_number_of_cells_grows_with_the_workers_up_to_eight() {
    for (workers, cells) in [(0, 1), (40, 1), (41, 2), (81, 4), (161, 8), (1_000, 8)] {
        assert_eq!(cell_count(workers), cells, "{workers} workers");
    }
}

#[test]
fn only_partitions_of_the_largest_zone_map_to_cells() {
    let cells: BTreeSet<u32> =
        cells_of_zone("a", 1_000, PARTITIONS).into_iter().map(|cell| cell.partition).collect();
    let mapped: BTreeSet<u32> =
        (0..PARTITIONS).filter(|at| is_cell_partition(*at, PARTITIONS)).collect();
    assert_eq!(cells, mapped);
    assert_eq!(mapped.len(), 8);
}

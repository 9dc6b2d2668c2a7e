//! Which partitions stand for cells.

use std::collections::BTreeSet;

use pool::cells::{cell_count, cells_of, may_stand_for_cell};

const PARTITIONS: u32 = 32;

#[test]
fn a_zone_has_more_cells_the_more_workers_it_has_up_to_eight() {
    for (workers, cells) in [(0, 1), (40, 1), (41, 2), (81, 4), (161, 8), (1_000, 8)] {
        assert_eq!(cell_count(workers), cells, "{workers} workers");
    }
}

#[test]
fn just_the_partitions_of_the_largest_zone_may_stand_for_cells() {
    let cells: BTreeSet<u32> =
        cells_of("a", 1_000, PARTITIONS).into_iter().map(|cell| cell.partition).collect();
    let may: BTreeSet<u32> =
        (0..PARTITIONS).filter(|at| may_stand_for_cell(*at, PARTITIONS)).collect();
    assert_eq!(cells, may);
    assert_eq!(may.len(), 8);
}

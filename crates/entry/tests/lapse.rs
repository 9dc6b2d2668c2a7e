//! Tests of a zone whose daemons lose their memberships: the store is out of reach for longer than
//! they last, or the daemons are stopped in turn. With real daemon processes.

use std::path::Path;
use std::time::{Duration, Instant};

use pool::catalogue::WorkerState;
use rustix::process::Signal;
use soak::cluster::{Cluster, Layout, job};
use standins::metastore::StoreBehaviour;

const DAEMONS: usize = 6;
/// Longer than a membership lasts without a renewal (1,200 ms).
const OUTAGE_MS: u64 = 2_000;

async fn pause(pause_ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
}

/// Returns each daemon's cells with their fencing tokens, as the state dump has them.
async fn owned_cells(cluster: &Cluster) -> Vec<Vec<(String, u64)>> {
    let mut cells = Vec::new();
    for daemon in &cluster.daemons {
        let dump = cluster.get(daemon.metrics_addr, "/state").await.unwrap().1;
        let dump: serde_json::Value = serde_json::from_slice(&dump).unwrap();
        let owned = dump["cells"].as_array().unwrap().iter();
        let owned = owned.map(|cell| {
            (cell["cell"].as_str().unwrap().to_owned(), cell["token"].as_u64().unwrap())
        });
        cells.push(owned.collect());
    }
    cells
}

/// Guards against cells that follow the store's assignment from one daemon to the next while the
/// daemons of a zone rejoin one by one: each change of owner refused jobs although all workers were
/// free.
#[actix_rt::test]
async fn cells_stay_with_their_owners_while_the_daemons_rejoin_after_an_outage() {
    let program = Path::new(env!("CARGO_BIN_EXE_clementine-entry"));
    let layout = Layout { zones: 1, daemons: DAEMONS, workers: 44 };
    let cluster = Cluster::start(program, layout).await;
    let before = owned_cells(&cluster).await;
    cluster.store.behaviour.set(StoreBehaviour::Busy);
    pause(OUTAGE_MS).await;
    cluster.store.behaviour.set(StoreBehaviour::Normal);
    let began = Instant::now();
    let mut id = 1;
    while began.elapsed() < Duration::from_millis(1_500) {
        for at in 0..DAEMONS {
            let answer = cluster.submit(at, &job(id, 2, 5, "5")).await.unwrap();
            assert_eq!(answer.0, 200, "job {id} at daemon {at}: {}", answer.1);
            id += 1;
        }
    }
    assert_eq!(owned_cells(&cluster).await, before, "a cell changed hands");
    assert!(id > 100, "only {id} jobs were submitted");
}

/// Guards against cells that stay with an owner which the store does not list, or get lost, once
/// the assignment has settled.
#[actix_rt::test]
async fn cells_go_to_their_assigned_owners_once_the_assignment_has_settled() {
    let program = Path::new(env!("CARGO_BIN_EXE_clementine-entry"));
    let layout = Layout { zones: 1, daemons: 3, workers: 44 };
    let cluster = Cluster::start(program, layout).await;
    cluster.store.behaviour.set(StoreBehaviour::Busy);
    pause(OUTAGE_MS).await;
    cluster.store.behaviour.set(StoreBehaviour::Normal);
    // Cells are kept for 2.5 s and released within another second.
    let mut id = 1;
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(5) {
        let answer = cluster.submit(id as usize % 3, &job(id, 1, 5, "5")).await.unwrap();
        assert_eq!(answer.0, 200, "job {id}: {}", answer.1);
        id += 1;
        pause(10).await;
    }
    let mut cells: Vec<String> =
        owned_cells(&cluster).await.into_iter().flatten().map(|(cell, _)| cell).collect();
    cells.sort_unstable();
    assert_eq!(cells, ["z0/0", "z0/9"], "each cell has one owner");
}

/// Guards against workers that stay idle for seconds in a rolling restart: the other daemon of the
/// zone is still away when the last one is stopped.
#[actix_rt::test]
async fn the_last_daemon_of_a_zone_serves_until_another_one_takes_its_cell() {
    let program = Path::new(env!("CARGO_BIN_EXE_clementine-entry"));
    // The jobs come through a daemon of the other zone, which has no workers of its own.
    let layout = Layout { zones: 2, daemons: 2, workers: 2 };
    let mut cluster = Cluster::start(program, layout).await;
    let last = cluster.find_owner(0).await;
    let first = 1 - last;
    for worker in 2..4 {
        cluster.publish_worker(worker, WorkerState::Draining);
    }
    cluster.daemons[first].signal(Signal::TERM);
    pause(1_500).await;
    cluster.daemons[last].signal(Signal::TERM);
    let began = Instant::now();
    let mut id = 1;
    let mut is_restarted = false;
    while began.elapsed() < Duration::from_millis(4_500) {
        if !is_restarted && began.elapsed() > Duration::from_secs(3) {
            cluster.restart(first);
            is_restarted = true;
        }
        let answer = cluster.submit(2 + id as usize % 2, &job(id, 1, 5, "5")).await.unwrap();
        let at_ms = began.elapsed().as_millis();
        assert_eq!(answer.0, 200, "job {id} at {at_ms} ms: {}", answer.1);
        id += 1;
        pause(20).await;
    }
    assert_eq!(cluster.find_owner(0).await, first, "the daemon that came back owns the cell");
}

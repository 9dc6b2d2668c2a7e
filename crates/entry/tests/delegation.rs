//! Tests of a zone whose daemons state different capacities, with real daemon processes: cells move
//! to the daemon that can carry them, stay there, and no job is refused meanwhile.

use std::path::Path;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use soak::cluster::{Cluster, Layout, job};
use soak::proxy::Link;
use standins::metastore::StoreBehaviour;

/// Shares of a core; the last daemon is the large one.
const CPU_SHARES: [f64; 3] = [0.1, 0.1, 0.5];
const LARGE: usize = 2;
const MAX_STARTS: usize = 12;

async fn pause(pause_ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
}

/// Starts a zone in which the store assigns both cells to a small daemon. The assignment follows
/// from the daemons' addresses, which differ from start to start.
async fn start() -> Cluster {
    let program = Path::new(env!("CARGO_BIN_EXE_clementine-entry"));
    let layout = Layout { zones: 1, daemons: CPU_SHARES.len(), workers: 44 };
    for _ in 0..MAX_STARTS {
        let cluster = Cluster::start_with_shares(program, layout, &CPU_SHARES).await;
        wait_for_both_cells(&cluster, LARGE).await;
        let dump = dump(&cluster, LARGE).await.unwrap();
        let cells = dump["cells"].as_array().unwrap();
        if cells.iter().all(|cell| cell["holder"].is_string()) {
            return cluster;
        }
    }
    panic!("the store assigned a cell to the large daemon {MAX_STARTS} times");
}

async fn dump(cluster: &Cluster, at: usize) -> Option<serde_json::Value> {
    let (_, dump) = cluster.get(cluster.daemons[at].metrics_addr, "/state").await.ok()?;
    serde_json::from_slice(&dump).ok()
}

/// Returns the cells that a daemon owns with their fencing tokens.
async fn cells_of(cluster: &Cluster, at: usize) -> Vec<(String, u64)> {
    let Some(dump) = dump(cluster, at).await else { return Vec::new() };
    let cells = dump["cells"].as_array().unwrap().iter();
    cells
        .map(|cell| (cell["cell"].as_str().unwrap().to_owned(), cell["token"].as_u64().unwrap()))
        .collect()
}

/// Waits until a daemon owns both cells of the zone.
async fn wait_for_both_cells(cluster: &Cluster, at: usize) {
    let began = Instant::now();
    while cells_of(cluster, at).await.len() < 2 {
        let waited_ms = began.elapsed().as_millis();
        assert!(waited_ms < 8_000, "daemon {at} does not own both cells");
        pause(50).await;
    }
}

/// Returns the index of a small daemon that holds a cell.
async fn find_holder(cluster: &Cluster) -> usize {
    for at in 0..LARGE {
        let dump = dump(cluster, at).await.unwrap();
        if !dump["delegations"].as_array().unwrap().is_empty() {
            return at;
        }
    }
    panic!("no small daemon holds a cell");
}

/// Submits jobs through the daemons `through` for `span_ms` and requires that every one completes.
async fn require_service(cluster: &Cluster, first_id: u64, span_ms: u64, through: &[usize]) {
    let began = Instant::now();
    let mut id = first_id;
    while began.elapsed() < Duration::from_millis(span_ms) {
        let at = through[id as usize % through.len()];
        let answer = cluster.submit(at, &job(id, 2, 20, "20")).await.unwrap();
        let at_ms = began.elapsed().as_millis();
        assert_eq!(answer.0, 200, "job {id} at daemon {at} after {at_ms} ms: {}", answer.1);
        id += 1;
    }
}

/// Guards against a small daemon that keeps the cells which the store assigned to it, and against
/// jobs that are refused while a cell moves.
#[actix_rt::test]
async fn cells_move_to_the_large_daemon_and_stay_there() {
    let cluster = start().await;
    require_service(&cluster, 1, 1_000, &[0, 1, 2]).await;
    let before = cells_of(&cluster, LARGE).await;
    assert_eq!(before.len(), 2, "{before:?}");
    require_service(&cluster, 10_000, 4_000, &[0, 1, 2]).await;
    assert_eq!(cells_of(&cluster, LARGE).await, before, "a cell moved again");
}

/// Guards against a cell that changes its owner, or is without one, when its holder dies or is
/// restarted.
#[actix_rt::test]
async fn a_delegated_cell_stays_when_its_holder_is_killed_or_restarted() {
    let mut cluster = start().await;
    pause(1_000).await;
    for first_id in [1, 50_000] {
        let holder = find_holder(&cluster).await;
        if first_id == 1 {
            cluster.restart(holder);
        } else {
            cluster.daemons[holder].signal(Signal::KILL);
        }
        require_service(&cluster, first_id, 5_000, &[1 - holder, LARGE]).await;
        assert_eq!(cells_of(&cluster, LARGE).await.len(), 2, "a cell has left the large daemon");
    }
}

/// Guards against a cell without an owner, or jobs that are refused, when the large daemon shuts
/// down, and against cells that stay with small daemons when it is back.
#[actix_rt::test]
async fn holders_take_cells_back_when_their_owner_shuts_down() {
    let mut cluster = start().await;
    cluster.daemons[LARGE].signal(Signal::TERM);
    require_service(&cluster, 1, 7_500, &[0, 1]).await;
    let cells = cells_of(&cluster, 0).await.len() + cells_of(&cluster, 1).await.len();
    assert_eq!(cells, 2, "the small daemons own both cells");
    cluster.restart(LARGE);
    wait_for_both_cells(&cluster, LARGE).await;
}

/// Guards against a cell that stays with a dead owner: its holder has to take it back before a
/// membership lapses (1,200 ms).
#[actix_rt::test]
async fn a_holder_takes_a_cell_back_from_a_dead_owner() {
    let cluster = start().await;
    cluster.daemons[LARGE].signal(Signal::KILL);
    let began = Instant::now();
    while cells_of(&cluster, 0).await.len() + cells_of(&cluster, 1).await.len() < 2 {
        assert!(began.elapsed() < Duration::from_millis(1_200), "the cells have no owner");
        pause(20).await;
    }
    require_service(&cluster, 1, 2_000, &[0, 1]).await;
}

/// Guards against a delegate that gives up its cells because the store is unreachable, although
/// nobody else may take them.
#[actix_rt::test]
async fn delegated_cells_stay_while_the_store_is_unreachable() {
    let cluster = start().await;
    pause(1_000).await;
    let before = cells_of(&cluster, LARGE).await;
    cluster.store.behaviour.set(StoreBehaviour::Busy);
    require_service(&cluster, 1, 5_000, &[0, 1, 2]).await;
    assert_eq!(cells_of(&cluster, LARGE).await, before, "during the outage");
    cluster.store.behaviour.set(StoreBehaviour::Normal);
    require_service(&cluster, 50_000, 5_000, &[0, 1, 2]).await;
    let cells: Vec<String> =
        cells_of(&cluster, LARGE).await.into_iter().map(|(cell, _)| cell).collect();
    assert_eq!(cells, ["z0/0", "z0/9"], "after the outage");
}

/// Guards against a cell with two owners, or none, after holder and owner are cut from each other
/// while both reach the workers: the replies of the owner are lost, or all that is sent to it.
#[actix_rt::test]
async fn a_holder_without_replies_takes_the_cells_back_and_their_owner_loses_them() {
    for link in [Link::OneWay, Link::Silent] {
        let cluster = start().await;
        let before = cells_of(&cluster, LARGE).await;
        cluster.daemons[LARGE].peers_proxy.link.set(link);
        let began = Instant::now();
        loop {
            let small = [cells_of(&cluster, 0).await, cells_of(&cluster, 1).await].concat();
            let is_taken_back = |(cell, token): &(String, u64)| {
                before.iter().any(|(known, old_token)| known == cell && old_token < token)
            };
            if small.len() == 2 && small.iter().all(is_taken_back) {
                break;
            }
            assert!(began.elapsed() < Duration::from_millis(1_500), "{link:?}: {small:?}");
            pause(20).await;
        }
        while !cells_of(&cluster, LARGE).await.is_empty() {
            let elapsed = began.elapsed();
            assert!(elapsed < Duration::from_secs(4), "{link:?}: a cell has two owners");
            pause(50).await;
        }
        require_service(&cluster, 1, 1_000, &[0, 1]).await;
        cluster.daemons[LARGE].peers_proxy.link.set(Link::Normal);
        wait_for_both_cells(&cluster, LARGE).await;
        require_service(&cluster, 10_000, 1_000, &[0, 1, 2]).await;
    }
}

//! End-to-end tests of daemons that start again before their membership lapses.

use std::path::Path;
use std::time::{Duration, Instant};

use soak::cluster::{Cluster, Layout, job};
use soak::proxy::Link;

/// Returns the fencing tokens of the cells that a daemon owns.
async fn tokens_of(cluster: &Cluster, at: usize) -> Vec<u64> {
    let Ok((_, dump)) = cluster.get(cluster.daemons[at].metrics_addr, "/state").await else {
        return Vec::new();
    };
    let dump: serde_json::Value = serde_json::from_slice(&dump).unwrap();
    let cells = dump["cells"].as_array().unwrap().iter();
    cells.map(|cell| cell["token"].as_u64().unwrap()).collect()
}

/// Waits until a daemon owns the zone's cell, and returns the token.
async fn wait_for_token(cluster: &Cluster, at: usize) -> u64 {
    let began = Instant::now();
    loop {
        if let [token] = tokens_of(cluster, at).await[..] {
            return token;
        }
        assert!(began.elapsed() < Duration::from_secs(8), "daemon {at} owns no cell");
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a process that issues the tokens of its predecessor, which had the same name in the
/// same assignment: workers can't tell a late start of that one from its own. All other daemons are
/// silent, so that none tells it of the tokens.
#[actix_rt::test]
async fn the_next_process_of_a_daemon_owns_its_cell_under_a_higher_token() {
    let program = Path::new(env!("CARGO_BIN_EXE_clementine-entry"));
    let layout = Layout { zones: 1, daemons: 2, workers: 2 };
    let mut cluster = Cluster::start(program, layout).await;
    let owner = cluster.find_owner(0).await;
    let mut token = wait_for_token(&cluster, owner).await;
    for daemon in &cluster.daemons {
        daemon.peers_proxy.link.set(Link::Silent);
    }
    for restart in 1..=3 {
        cluster.restart(owner);
        let next = wait_for_token(&cluster, owner).await;
        assert!(next > token, "restart {restart}: token {next} after {token}");
        token = next;
    }
    let answer = cluster.submit(owner, &job(1, 2, 20, "20")).await.unwrap();
    assert_eq!(answer.0, 200, "{}", answer.1);
}

//! Benchmark of a scheduling decision (one start and one end of a task) with few and many workers,
//! and of the check of a ticket.
//!
//! The last part measures both sizes within the same run. It fails if the time of a decision grows
//! faster than logarithmically with the number of workers, or if a time limit is exceeded.

use std::hint::black_box;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Instant;

use criterion::Criterion;
use dispatch::clock::Millis;
use dispatch::ticket::{Incarnation, JobId, Key, Keyring, Ticket};
use dispatch::workers::{Needs, SelectionPolicy, Urgency, WorkerInfo, Workers};

const FEW: usize = 48;
const MANY: usize = 970;
const ROUNDS: u32 = 200_000;
const SAMPLES: usize = 9;
/// Maximum median time of one decision with `MANY` workers, in nanoseconds.
const DECISION_LIMIT_NS: f64 = 1_000.0;
/// Maximum median time of one ticket check, in nanoseconds.
const CHECK_LIMIT_NS: f64 = 2_000.0;

fn new_workers(count: usize) -> Workers {
    let infos: Vec<WorkerInfo> = (0..count)
        .map(|index| WorkerInfo {
            addr: SocketAddr::from(([127, 0, (index / 200) as u8, 1], 1_000 + index as u16)),
            zone: "zone".into(),
            slots: 8,
            size: Needs { cores: 64, memory_mb: 1 << 18, accelerators: 0 },
            leaving: false,
        })
        .collect();
    let mut workers = Workers::new("zone", SelectionPolicy::Shares, 1);
    workers.update(&infos);
    for info in &infos {
        workers.set_boot(info.addr, 1);
    }
    workers
}

/// Chooses a worker for one task and ends another task, so that the load stays constant.
fn start_and_end_one(workers: &mut Workers, running: &mut [u32], turn: usize) {
    let chosen = workers.choose(&Needs::default(), true, Urgency::default(), Millis(1));
    if let Some(chosen) = chosen {
        workers.record_start(chosen);
        let index = turn * 7 % running.len();
        let ended = std::mem::replace(&mut running[index], chosen);
        workers.record_end(ended);
    }
}

/// Creates workers with four fifths of their slots in use, and lists the worker of each running
/// task.
fn loaded_workers(count: usize) -> (Workers, Vec<u32>) {
    let mut workers = new_workers(count);
    let mut running = Vec::new();
    for _ in 0..count * 8 * 4 / 5 {
        let chosen = workers.choose(&Needs::default(), true, Urgency::default(), Millis(1));
        if let Some(chosen) = chosen {
            workers.record_start(chosen);
            running.push(chosen);
        }
    }
    (workers, running)
}

fn ticket_and_keys() -> (Keyring, String) {
    let keys = Keyring::new(Key { id: 1, secret: [7; 32] }, Vec::new());
    let ticket = Ticket {
        job: JobId { incarnation: Incarnation(9), seq: 77 },
        home: SocketAddr::from(([10, 0, 0, 1], 7_002)),
        zone: "milano-nord".into(),
        issued_ms: Millis(1),
        expiry_ms: Millis(600_000),
    };
    let text = keys.issue(&ticket);
    (keys, text)
}

fn median_ns(mut operation: impl FnMut(usize)) -> f64 {
    let mut samples: Vec<f64> = (0..SAMPLES)
        .map(|_| {
            let started_at = Instant::now();
            for turn in 0..ROUNDS {
                operation(turn as usize);
            }
            started_at.elapsed().as_nanos() as f64 / f64::from(ROUNDS)
        })
        .collect();
    samples.sort_by(f64::total_cmp);
    samples[SAMPLES / 2]
}

fn main() -> ExitCode {
    let mut criterion = Criterion::default().configure_from_args().sample_size(20);
    for count in [FEW, 240, MANY] {
        let (mut workers, mut running) = loaded_workers(count);
        let mut turn = 0;
        criterion.bench_function(&format!("decision, {count} workers"), |bench| {
            bench.iter(|| {
                turn += 1;
                start_and_end_one(black_box(&mut workers), &mut running, turn);
            });
        });
    }
    let (keys, text) = ticket_and_keys();
    criterion.bench_function("ticket check", |bench| {
        bench.iter(|| black_box(keys.check(black_box(&text))));
    });
    criterion.final_summary();
    check_limits(&keys, &text)
}

fn check_limits(keys: &Keyring, text: &str) -> ExitCode {
    let median_for = |count| {
        let (mut workers, mut running) = loaded_workers(count);
        median_ns(|turn| start_and_end_one(black_box(&mut workers), &mut running, turn))
    };
    let (few_ns, many_ns) = (median_for(FEW), median_for(MANY));
    let check_ns = median_ns(|_| {
        let _ = black_box(keys.check(black_box(text)));
    });
    let ratio = many_ns / few_ns;
    let max_ratio = (MANY as f64).log2() / (FEW as f64).log2();
    println!("decision: {few_ns:.0} ns with {FEW} workers, {many_ns:.0} ns with {MANY}");
    println!(
        "growth {ratio:.2} (limit {max_ratio:.2}, logarithmic); ticket check {check_ns:.0} ns"
    );
    let within_limits =
        ratio <= max_ratio && many_ns < DECISION_LIMIT_NS && check_ns < CHECK_LIMIT_NS;
    println!(
        "verdict: decision: {}",
        if within_limits { "every target met" } else { "targets missed" }
    );
    if within_limits { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

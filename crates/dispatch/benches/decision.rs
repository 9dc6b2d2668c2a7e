//! The decision itself: one start and its end with few and many workers known, and the check of
//! a ticket. The last part compares sizes within this run and fails where growth is too fast.

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
/// One decision may take this long with many workers, in nanoseconds.
const DECISION_LIMIT_NS: f64 = 1_000.0;
/// The check of a ticket may take this long, in nanoseconds.
const CHECK_LIMIT_NS: f64 = 2_000.0;

fn known(count: usize) -> Workers {
    let infos: Vec<WorkerInfo> = (0..count)
        .map(|place| WorkerInfo {
            addr: SocketAddr::from(([127, 0, (place / 200) as u8, 1], 1_000 + place as u16)),
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

/// Chooses a worker for one task and ends another, so that the load stays as it is.
fn decide(workers: &mut Workers, running: &mut [u32], turn: usize) {
    let chosen = workers.choose(&Needs::default(), true, Urgency::default(), Millis(1));
    if let Some(chosen) = chosen {
        workers.record_start(chosen);
        let place = turn * 7 % running.len();
        let ended = std::mem::replace(&mut running[place], chosen);
        workers.record_end(ended);
    }
}

/// Brings the workers to four fifths of their slots.
fn loaded(count: usize) -> (Workers, Vec<u32>) {
    let mut workers = known(count);
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

fn median_ns(mut once: impl FnMut(usize)) -> f64 {
    let mut samples: Vec<f64> = (0..SAMPLES)
        .map(|_| {
            let began = Instant::now();
            for turn in 0..ROUNDS {
                once(turn as usize);
            }
            began.elapsed().as_nanos() as f64 / f64::from(ROUNDS)
        })
        .collect();
    samples.sort_by(f64::total_cmp);
    samples[SAMPLES / 2]
}

fn main() -> ExitCode {
    let mut criterion = Criterion::default().configure_from_args().sample_size(20);
    for count in [FEW, 240, MANY] {
        let (mut workers, mut running) = loaded(count);
        let mut turn = 0;
        criterion.bench_function(&format!("decision, {count} workers"), |bench| {
            bench.iter(|| {
                turn += 1;
                decide(black_box(&mut workers), &mut running, turn);
            });
        });
    }
    let (keys, text) = ticket_and_keys();
    criterion.bench_function("ticket check", |bench| {
        bench.iter(|| black_box(keys.check(black_box(&text))));
    });
    criterion.final_summary();
    judge(&keys, &text)
}

fn judge(keys: &Keyring, text: &str) -> ExitCode {
    let time = |count| {
        let (mut workers, mut running) = loaded(count);
        median_ns(|turn| decide(black_box(&mut workers), &mut running, turn))
    };
    let (few_ns, many_ns) = (time(FEW), time(MANY));
    let check_ns = median_ns(|_| {
        let _ = black_box(keys.check(black_box(text)));
    });
    let ratio = many_ns / few_ns;
    let most_ratio = (MANY as f64).log2() / (FEW as f64).log2();
    println!("decision: {few_ns:.0} ns with {FEW} workers, {many_ns:.0} ns with {MANY}");
    println!(
        "growth {ratio:.2} (limit {most_ratio:.2}, logarithmic); ticket check {check_ns:.0} ns"
    );
    let met = ratio <= most_ratio && many_ns < DECISION_LIMIT_NS && check_ns < CHECK_LIMIT_NS;
    println!("verdict: decision: {}", if met { "every target met" } else { "targets missed" });
    if met { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

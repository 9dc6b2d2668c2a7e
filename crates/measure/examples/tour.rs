//! Demonstration: runs four daemons and ten stand-in workers in two zones in one process and submits
//! one job.
//!
//! `cargo run --release --example tour` exits with 0 if the answer has the expected digest for every
//! task. `--serve` keeps the fleet running and prints commands to try.

use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clementined::daemon::Daemon;
use dispatch::answer::Verdict;
use gumdrop::Options;
use httpedge::client::Caller;
use measure::calls::{await_ready, coverage_job, edit, has_valid_digests, submit};
use measure::fleet::{Fleet, sample_catalogue};
use measure::ideal::central_queue;
use measure::roles::serve_standins;
use measure::trace::{TraceJob, sample_work_ms};
use rand::SeedableRng as _;

const TASKS: usize = 240;
const WORKERS: usize = 10;
const SLOTS: u32 = 8;
const SEED: u64 = 11;
const MAX_WORK_MS: u64 = 1_000;

#[derive(Debug)]
#[derive(Options)]
struct Args {
    /// Prints this help.
    help: bool,
    /// Keeps the fleet running and prints commands to try.
    serve: bool,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    match actix_rt::System::new().block_on(tour(args.serve)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tour: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn tour(serve: bool) -> Result<(), String> {
    let fleet = Fleet::with_free_ports(&["bergamo", "sondrio"], 4, WORKERS, SLOTS);
    let daemons = start(&fleet).await?;
    let caller = Caller::new();
    let operators: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.operators).collect();
    await_ready(&caller, &operators, 0).await?;
    edit(&caller, operators[0], "tour", sample_catalogue()).await?;
    await_ready(&caller, &operators, 1).await?;

    let mut rng = rand::rngs::SmallRng::seed_from_u64(SEED);
    let work_ms: Vec<u64> = std::iter::repeat_with(|| sample_work_ms(&mut rng))
        .filter(|ms| *ms <= MAX_WORK_MS)
        .take(TASKS)
        .collect();
    let job = coverage_job("coverage-check", &work_ms, &work_ms, SEED);
    println!("submitting one job of {TASKS} coverage checks of 50 ms to 1 s ...");
    let submitted_at = Instant::now();
    let (status, answer) = submit(&caller, fleet.daemons[0].callers, None, &job, 60_000)
        .await
        .map_err(|error| error.to_string())?;
    let response_ms = submitted_at.elapsed().as_secs_f64() * 1_000.0;
    let answer = answer.ok_or("failed to parse the answer")?;
    let correct = answer.verdict == Verdict::Complete && has_valid_digests(&job, &answer);
    let messages: u64 =
        daemons.iter().map(|daemon| daemon.worker_messages.get() + daemon.traffic.sent.get()).sum();
    let trace = TraceJob {
        at_ms: 0.0,
        kind: "coverage-check",
        declared_ms: work_ms.clone(),
        work_ms,
        entry_fraction: 0.0,
    };
    let ideal_ms = central_queue(&[trace], WORKERS as u32 * SLOTS)[0];
    println!("answer: {:?}, status {status}, ticket {:.24}...", answer.verdict, answer.ticket);
    println!("digests: {} of {TASKS} tasks, {}", answer.tasks.len(), digest_status(correct));
    println!(
        "response: {response_ms:.0} ms; ideal on {} slots: {ideal_ms:.0} ms; ratio {:.2}",
        WORKERS as u32 * SLOTS,
        response_ms / ideal_ms
    );
    println!("messages per task, control included: {:.2}", messages as f64 / TASKS as f64);
    if serve {
        print_commands(&fleet, &answer.ticket);
        std::future::pending::<()>().await;
    }
    if correct { Ok(()) } else { Err("the answer is not complete or has wrong digests".to_owned()) }
}

const fn digest_status(correct: bool) -> &'static str {
    if correct { "all match their input" } else { "NOT all match" }
}

async fn start(fleet: &Fleet) -> Result<Vec<Rc<Daemon>>, String> {
    serve_standins(fleet).await?;
    let mut daemons = Vec::new();
    for index in 0..fleet.daemons.len() {
        let config = clementined::config::parse("tour", &fleet.settings(index));
        let config = config.map_err(|error| error.to_string())?;
        let daemon = clementined::run::begin(config).await.map_err(|error| error.to_string())?;
        daemons.push(daemon);
    }
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    Ok(daemons)
}

fn print_commands(fleet: &Fleet, ticket: &str) {
    let (callers, operators) = (fleet.daemons[0].callers, fleet.daemons[0].operators);
    println!("\nThe fleet stays up until you press Ctrl-C. Try:");
    println!("  curl 'http://{callers}/v1/tickets?count=2'");
    println!(
        "  curl 'http://{callers}/v1/jobs' -d '{{\"kind\":\"coverage-check\",\"tasks\":\
         [{{\"input\":\"{{\\\"work_ms\\\":80,\\\"contract\\\":\\\"C003\\\"}}\"}}]}}'"
    );
    println!("  curl 'http://{operators}/metrics'");
    println!("  clementinectl --operators {operators} catalogue list");
    println!("  clementinectl --operators {operators} explain {ticket}");
    println!("  clementinectl --operators {operators} state");
}

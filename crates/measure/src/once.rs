//! Checks that each task starts at most once and that answers are correct and consistent. Callers
//! submit and resubmit jobs to real daemons under crashes, pauses, drains, network partitions, log
//! service outages and worker faults.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use callers::render::AnswerBody;
use dispatch::answer::{Reason, Verdict};
use dispatch::jobs::JobRequest;
use dispatch::ticket::{Key, Keyring};
use httpedge::client::Caller;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use crate::calls::{coverage_job, is_whole, state, submit};
use crate::children::Children;
use crate::faults::{FaultCounts, inject_faults};
use crate::fleet::{FERRANDI_ZONES, Fleet};
use crate::ledgers::{self, Ledgers};

const DAEMONS: usize = 8;
const WORKERS: usize = 48;
const SLOTS: u32 = 32;
const TASKS_PER_JOB: usize = 8;
const WORK_MS: std::ops::Range<u64> = 20..60;
const CALLERS: usize = 120;
const SETTLE_TIME: Duration = Duration::from_secs(12);
const SEED: u64 = 4;
/// Maximum number of tasks started more than once that are printed in detail.
const MAX_PRINTED_CASES: usize = 6;

/// A submitted job with every final or `unknown` answer that the caller received for it.
#[derive(Clone, Debug)]
struct SubmittedJob {
    ticket: String,
    job_id: String,
    request: Rc<JobRequest>,
    /// Verdict, reason, and whether the answer is consistent with the request: false for a
    /// `complete` answer with a missing or wrong task digest.
    answers: Vec<(Verdict, Reason, bool)>,
    /// Fault phase in which the job was first submitted.
    phase: &'static str,
    /// Whether the job was submitted with an idempotency key chosen by the caller, not a ticket.
    bare_key: bool,
}

#[derive(Debug)]
struct SharedState {
    submitted: RefCell<Vec<SubmittedJob>>,
    phase: RefCell<&'static str>,
    tasks: RefCell<usize>,
    done: RefCell<bool>,
    unanswered: RefCell<usize>,
}

/// Runs the measurement with at least `tasks` submitted tasks. Returns whether every target is met.
///
/// # Errors
/// Fails if the fleet cannot be started, a daemon cannot be restarted, or a counter or a worker's
/// ledger cannot be read.
pub async fn run(tasks: usize) -> Result<bool, String> {
    let mut fleet = Fleet::lay_out(&FERRANDI_ZONES, DAEMONS, WORKERS, SLOTS);
    fleet.extra.push_str("[drain]\nlimit_ms = 20000\n");
    let mut children = Children::start(fleet).await?;
    let message_costs = measure_messages(&children).await?;
    let shared = Rc::new(SharedState {
        submitted: RefCell::default(),
        phase: RefCell::new("calm"),
        tasks: RefCell::new(0),
        done: RefCell::new(false),
        unanswered: RefCell::new(0),
    });
    let began = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller_index| {
            let entries = children.callers();
            actix_rt::spawn(run_caller(caller_index as u64, entries, Rc::clone(&shared)))
        })
        .collect();
    let mut fault_counts = FaultCounts::default();
    while *shared.tasks.borrow() < tasks {
        let set_phase = |phase| *shared.phase.borrow_mut() = phase;
        inject_faults(&mut children, set_phase, &mut fault_counts).await?;
        println!(
            "{:5.1} s  {} tasks submitted, {} crashes, {} drains, {} pauses, {} partitions, {} outages",
            began.elapsed().as_secs_f64(),
            shared.tasks.borrow(),
            fault_counts.crashes,
            fault_counts.drains,
            fault_counts.pauses,
            fault_counts.cuts,
            fault_counts.outages
        );
    }
    *shared.done.borrow_mut() = true;
    for caller in callers {
        let _ = caller.await;
    }
    actix_rt::time::sleep(SETTLE_TIME).await;
    let before = count_unknown_by_phase(&shared.submitted.borrow());
    let settled = resubmit_unsettled(&children, &shared).await;
    let caller = Caller::new();
    let ledgers = ledgers::read(&caller, &children.workers()).await?;
    Ok(report(&shared, &ledgers, &fault_counts, &message_costs, &(before, settled)))
}

/// Submits jobs one after the other until the measurement ends. Each attempt goes to a random
/// daemon.
async fn run_caller(caller_index: u64, entries: Vec<SocketAddr>, shared: Rc<SharedState>) {
    let caller = Caller::new();
    let mut rng = SmallRng::seed_from_u64(SEED + caller_index);
    let mut next_ticket: Option<String> = None;
    let mut round = 0;
    while !*shared.done.borrow() {
        round += 1;
        let salt = caller_index * 1_000_000 + round;
        let work_ms: Vec<u64> =
            (0..TASKS_PER_JOB).map(|_| rng.random_range(WORK_MS.clone())).collect();
        let kind = if rng.random_bool(0.1) { "invoice" } else { "coverage-check" };
        let request = Rc::new(coverage_job(kind, &work_ms, &work_ms, salt));
        let ticket = match next_ticket.take() {
            Some(ticket) => ticket,
            None => match request_ticket(&caller, &entries, &mut rng).await {
                Some(ticket) => ticket,
                None => continue,
            },
        };
        *shared.tasks.borrow_mut() += TASKS_PER_JOB;
        let bare_key = rng.random_bool(0.03);
        let phase = *shared.phase.borrow();
        let header = if bare_key {
            ("idempotency-key", format!("{}-{salt}", clementined::logging::unix_ms() / 1_000))
        } else {
            ("ticket", ticket.clone())
        };
        let job_id = job_id_of(&ticket);
        let submitted =
            SubmittedJob { ticket, job_id, request, answers: Vec::new(), phase, bare_key };
        let submitted = submit_until_answered(&caller, &entries, &mut rng, submitted, header).await;
        next_ticket = submitted.1;
        if submitted.0.answers.is_empty() {
            *shared.unanswered.borrow_mut() += 1;
        }
        shared.submitted.borrow_mut().push(submitted.0);
    }
}

/// Submits a job up to 4 times until an answer is final, and resubmits after a lost, `running` or
/// `unknown` answer. In one of ten jobs, the first attempt is sent twice concurrently. Returns the
/// job with its answers, and the ticket for the caller's next job if an answer contained one.
async fn submit_until_answered(
    caller: &Caller,
    entries: &[SocketAddr],
    rng: &mut SmallRng,
    mut submitted: SubmittedJob,
    header: (&'static str, String),
) -> (SubmittedJob, Option<String>) {
    let mut next = None;
    for attempt in 0..4 {
        let entry = entries[rng.random_range(0..entries.len())];
        let twice = attempt == 0 && rng.random_bool(0.1);
        let other = entries[rng.random_range(0..entries.len())];
        let wait_ms = if rng.random_bool(0.1) { 20 } else { 20_000 };
        let first = submit(caller, entry, Some(header.clone()), &submitted.request, wait_ms);
        let answers = if twice {
            let second = submit(caller, other, Some(header.clone()), &submitted.request, wait_ms);
            let (first, second) = futures_util::future::join(first, second).await;
            vec![first, second]
        } else {
            vec![first.await]
        };
        let mut settled = false;
        for answer in answers {
            if let Ok((_, Some(answer))) = answer {
                settled |= record_answer(&mut submitted, &answer);
                next = answer.next_tickets.first().cloned();
            }
        }
        if settled {
            return (submitted, next);
        }
        actix_rt::time::sleep(Duration::from_millis(rng.random_range(50..400))).await;
    }
    (submitted, next)
}

/// Records an answer. Returns whether it is final, that is neither `running` nor `unknown`.
fn record_answer(submitted: &mut SubmittedJob, answer: &AnswerBody) -> bool {
    if submitted.bare_key && !answer.ticket.is_empty() {
        submitted.ticket.clone_from(&answer.ticket);
        submitted.job_id = job_id_of(&answer.ticket);
    }
    if answer.verdict == Verdict::Running {
        return false;
    }
    let valid = answer.verdict != Verdict::Complete || is_whole(&submitted.request, answer);
    submitted.answers.push((answer.verdict, answer.reason, valid));
    answer.verdict != Verdict::Unknown
}

async fn request_ticket(
    caller: &Caller,
    entries: &[SocketAddr],
    rng: &mut SmallRng,
) -> Option<String> {
    let entry = entries[rng.random_range(0..entries.len())];
    let response: Result<callers::render::TicketsBody, _> =
        caller.get(entry, "/v1/tickets?count=1", 2_000).await;
    if let Ok(body) = response {
        return body.tickets.into_iter().next();
    }
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    None
}

/// Resubmits refused jobs and jobs with an `unknown` verdict once more after the last fault. A
/// refusal must remain valid, and the outcome of a job whose home daemon has died may be known by
/// now. Returns the new verdicts of the jobs with an `unknown` verdict, counted by phase.
async fn resubmit_unsettled(children: &Children, shared: &SharedState) -> ResubmissionCounts {
    let caller = Caller::new();
    let entries = children.callers();
    let mut settled = BTreeMap::new();
    let count = shared.submitted.borrow().len();
    for index in 0..count {
        let submitted = shared.submitted.borrow()[index].clone();
        let refused = submitted.answers.iter().any(|(verdict, _, _)| *verdict == Verdict::NotRun);
        let unknown = submitted.answers.last().is_none_or(|last| last.0 == Verdict::Unknown);
        if submitted.bare_key || !(refused || unknown) {
            continue;
        }
        let entry = entries[index % entries.len()];
        let header = ("ticket", submitted.ticket.clone());
        let answer = submit(&caller, entry, Some(header), &submitted.request, 10_000).await;
        if let Ok((_, Some(answer))) = answer {
            if unknown {
                let verdict = dispatch::report::name_of(&answer.verdict);
                *settled.entry((submitted.phase, verdict)).or_insert(0) += 1;
            }
            let mut all = shared.submitted.borrow_mut();
            record_answer(&mut all[index], &answer);
        }
    }
    settled
}

fn job_id_of(ticket: &str) -> String {
    let keys = Keyring::new(Key { id: 1, secret: [0x5e; 32] }, Vec::new());
    keys.check(ticket).map(|ticket| ticket.job.to_string()).unwrap_or_default()
}

/// Messages per submission of a job with one task, by delivery method.
#[derive(Clone, Debug)]
struct MessageCosts {
    measured: Vec<(&'static str, f64)>,
    /// What each delivery method sends by its definition, for comparison.
    by_definition: Vec<(&'static str, f64)>,
}

async fn measure_messages(children: &Children) -> Result<MessageCosts, String> {
    const ROUNDS: usize = 40;
    let caller = Caller::new();
    let entries = children.callers();
    let mut measured = Vec::new();
    for delivery in ["a ticket at home", "a forwarded ticket", "a bare key"] {
        let before = count_messages(&caller, children).await?;
        for round in 0..ROUNDS {
            let salt = 9_000_000 + round as u64;
            let job = coverage_job("coverage-check", &[20], &[20], salt);
            let header = if delivery == "a bare key" {
                let second = clementined::logging::unix_ms() / 1_000;
                ("idempotency-key", format!("{second}-m{round}"))
            } else {
                let response: callers::render::TicketsBody = caller
                    .get(entries[0], "/v1/tickets?count=1", 2_000)
                    .await
                    .map_err(|error| error.to_string())?;
                ("ticket", response.tickets.into_iter().next().unwrap_or_default())
            };
            let entry = if delivery == "a forwarded ticket" { entries[3] } else { entries[0] };
            let answer = submit(&caller, entry, Some(header), &job, 5_000).await;
            answer.map_err(|error| error.to_string())?;
        }
        let after = count_messages(&caller, children).await?;
        measured.push((delivery, (after - before) / ROUNDS as f64));
    }
    // Messages that the alternatives would send for the same jobs, by their definition.
    let peers = (DAEMONS - 1) as f64;
    let by_definition = vec![
        ("broadcast to every daemon, one answer each", 2.0 * peers),
        ("a registry: claim and read before each start", 4.0),
        ("a registry and a forward", 6.0),
        ("delivery by the address in the ticket, at home", 0.0),
        ("delivery by the address in the ticket, forwarded", 2.0),
    ];
    Ok(MessageCosts { measured, by_definition })
}

/// Sums the messages of all daemons for submissions: forwards and log messages. Background traffic
/// is counted separately and is not included.
async fn count_messages(caller: &Caller, children: &Children) -> Result<f64, String> {
    let mut total = 0.0;
    for addr in children.operators() {
        let state = state(caller, addr).await.map_err(|error| error.to_string())?;
        total += state["traffic"]["forward_messages"].as_f64().unwrap_or(0.0);
        total += state["traffic"]["submission_log_messages"].as_f64().unwrap_or(0.0);
    }
    Ok(total)
}

fn report(
    shared: &SharedState,
    ledgers: &Ledgers,
    fault_counts: &FaultCounts,
    message_costs: &MessageCosts,
    (unknown_by_phase, settled): &(UnknownByPhase, ResubmissionCounts),
) -> bool {
    let submitted = shared.submitted.borrow();
    let jobs = submitted.len();
    let tasks = ledgers.starts.len();
    let duplicated = ledgers.starts.values().filter(|starts| **starts > 1).count();
    let not_run: Vec<&SubmittedJob> = submitted
        .iter()
        .filter(|submitted| {
            submitted.answers.iter().any(|(verdict, _, _)| *verdict == Verdict::NotRun)
        })
        .collect();
    let false_refusals = not_run
        .iter()
        .filter(|submitted| ledgers.job_started(&submitted.job_id, TASKS_PER_JOB))
        .count();
    let mismatched = submitted
        .iter()
        .flat_map(|submitted| &submitted.answers)
        .filter(|(_, _, valid)| !valid)
        .count();
    let contradicting = submitted.iter().filter(|submitted| has_contradiction(submitted)).count();
    println!("\nfaults injected: {fault_counts:?}");
    println!("submissions                      {jobs}");
    println!("tasks started                    {tasks}");
    println!("maximum starts per task          {} (target 1)", ledgers.most_starts());
    println!("tasks started more than once     {duplicated} (target 0)");
    for task in ledgers.doubled.iter().take(MAX_PRINTED_CASES) {
        let submission =
            submitted.iter().find(|submitted| task.starts_with(&format!("{}.", submitted.job_id)));
        println!(
            "  {task} {:?}",
            submission.map(|submitted| (submitted.phase, submitted.bare_key, &submitted.answers))
        );
    }
    println!("false 'not run'                  {false_refusals} of {} (target 0)", not_run.len());
    println!("mismatched or partial answers    {mismatched} (target 0)");
    println!("contradicting answers            {contradicting} (target 0)");
    let unanswered = *shared.unanswered.borrow();
    println!(
        "submissions without any answer   {unanswered} (all 4 attempts failed or still running)"
    );
    for (phase, (unknown, all, reasons)) in unknown_by_phase {
        println!("unknown in {phase:14} {unknown:5} of {all:6}  {reasons:?}");
    }
    println!("jobs with tickets and an unknown verdict, after resubmission at the end:");
    for ((phase, verdict), count) in settled {
        println!("  {phase:14} {verdict:10} {count:5}");
    }
    let drain = unknown_by_phase.get("drain").map_or(0, |unknown_count| unknown_count.0);
    let outage = unknown_by_phase.get("log outage").map_or(0, |unknown_count| unknown_count.0);
    println!(
        "messages per submission, excluding the caller's request and response and worker traffic:"
    );
    for (delivery, count) in &message_costs.measured {
        println!("  {delivery:20} {count:.2} (measured)");
    }
    for (delivery, count) in &message_costs.by_definition {
        println!("  {delivery:50} {count:.0} (by definition)");
    }
    let home_messages = message_costs.measured[0].1;
    println!(
        "unknown verdicts with tickets: {drain} during drains, {outage} during log outages (targets 0)"
    );
    let no_violations = duplicated + false_refusals + mismatched + contradicting == 0;
    no_violations && drain == 0 && outage == 0 && home_messages < 0.005 && tasks > 0
}

/// Returns whether the answers report the job both as run (`complete` or `failed`) and as
/// `not_run`.
fn has_contradiction(submitted: &SubmittedJob) -> bool {
    let has = |wanted| submitted.answers.iter().any(|(verdict, _, _)| *verdict == wanted);
    has(Verdict::NotRun) && (has(Verdict::Complete) || has(Verdict::Failed))
}

/// Jobs with an `unknown` verdict, all jobs, and the number of `unknown` verdicts by reason.
type UnknownCount = (usize, usize, HashMap<String, usize>);
type UnknownByPhase = BTreeMap<&'static str, UnknownCount>;
/// Number of jobs by phase and by verdict after resubmission.
type ResubmissionCounts = BTreeMap<(&'static str, String), usize>;

/// Counts jobs whose last answer is `unknown` by the phase in which they were first submitted. Jobs
/// with bare keys are counted separately.
fn count_unknown_by_phase(submitted: &[SubmittedJob]) -> UnknownByPhase {
    let mut unknown_by_phase = BTreeMap::new();
    for submitted in submitted {
        let phase = if submitted.bare_key { "bare keys" } else { submitted.phase };
        let unknown_count: &mut UnknownCount = unknown_by_phase.entry(phase).or_default();
        unknown_count.1 += 1;
        if let Some((Verdict::Unknown, reason, _)) = submitted.answers.last() {
            unknown_count.0 += 1;
            *unknown_count.2.entry(dispatch::report::name_of(reason)).or_insert(0) += 1;
        }
    }
    unknown_by_phase
}

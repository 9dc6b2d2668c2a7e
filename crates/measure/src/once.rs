//! At most once, answered once, and true: real daemons under kills, pauses, drains, cuts and
//! outages, with callers that resubmit.

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

use crate::calls::{coverage_job, has_valid_digests, state, submit};
use crate::children::Children;
use crate::fleet::{FERRANDI_ZONES, Fleet};
use crate::harm::{Deeds, harm};
use crate::ledgers::{self, Ledgers};

const DAEMONS: usize = 8;
const WORKERS: usize = 48;
const SLOTS: u32 = 32;
const TASKS_PER_JOB: usize = 8;
const WORK_MS: std::ops::Range<u64> = 20..60;
const CALLERS: usize = 120;
const SETTLE: Duration = Duration::from_secs(12);
const SEED: u64 = 4;
/// Broken cases that are shown one by one.
const SHOWN: usize = 6;

/// One job of a resubmitting caller, with every answer that it got.
#[derive(Clone, Debug)]
struct Told {
    ticket: String,
    job: String,
    request: Rc<JobRequest>,
    answers: Vec<(Verdict, Reason, bool)>,
    phase: &'static str,
    keyed: bool,
}

#[derive(Debug)]
struct Shared {
    told: RefCell<Vec<Told>>,
    phase: RefCell<&'static str>,
    tasks: RefCell<usize>,
    done: RefCell<bool>,
    unanswered: RefCell<usize>,
}

/// Runs the measurement with at least `tasks` tasks, and tells whether every target is met.
///
/// # Errors
/// Fails where the fleet cannot be started.
pub async fn run(tasks: usize) -> Result<bool, String> {
    let mut fleet = Fleet::with_free_ports(&FERRANDI_ZONES, DAEMONS, WORKERS, SLOTS);
    fleet.extra_settings.push_str("[drain]\nlimit_ms = 20000\n");
    let mut children = Children::start(fleet).await?;
    let message_table = messages(&children).await?;
    let shared = Rc::new(Shared {
        told: RefCell::default(),
        phase: RefCell::new("calm"),
        tasks: RefCell::new(0),
        done: RefCell::new(false),
        unanswered: RefCell::new(0),
    });
    let began = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let entries = children.callers();
            actix_rt::spawn(call_in_a_loop(number as u64, entries, Rc::clone(&shared)))
        })
        .collect();
    let mut deeds = Deeds::default();
    while *shared.tasks.borrow() < tasks {
        let set_phase = |phase| *shared.phase.borrow_mut() = phase;
        harm(&mut children, set_phase, &mut deeds).await?;
        println!(
            "{:5.1} s  {} tasks asked for, {} crashes, {} drains, {} pauses, {} cuts, {} outages",
            began.elapsed().as_secs_f64(),
            shared.tasks.borrow(),
            deeds.crashes,
            deeds.drains,
            deeds.pauses,
            deeds.cuts,
            deeds.outages
        );
    }
    *shared.done.borrow_mut() = true;
    for caller in callers {
        let _ = caller.await;
    }
    actix_rt::time::sleep(SETTLE).await;
    let before = unknown_shares(&shared.told.borrow());
    let settled = ask_everyone_again(&children, &shared).await;
    let caller = Caller::new();
    let ledgers = ledgers::read(&caller, &children.workers()).await?;
    Ok(report(&shared, &ledgers, &deeds, &message_table, &(before, settled)))
}

/// Submits jobs one after the other, resubmitting some through any daemon at any time.
async fn call_in_a_loop(number: u64, entries: Vec<SocketAddr>, shared: Rc<Shared>) {
    let caller = Caller::new();
    let mut rng = SmallRng::seed_from_u64(SEED + number);
    let mut next_ticket: Option<String> = None;
    let mut round = 0;
    while !*shared.done.borrow() {
        round += 1;
        let salt = number * 1_000_000 + round;
        let work_ms: Vec<u64> =
            (0..TASKS_PER_JOB).map(|_| rng.random_range(WORK_MS.clone())).collect();
        let kind = if rng.random_bool(0.1) { "invoice" } else { "coverage-check" };
        let request = Rc::new(coverage_job(kind, &work_ms, &work_ms, salt));
        let ticket = match next_ticket.take() {
            Some(ticket) => ticket,
            None => match draw(&caller, &entries, &mut rng).await {
                Some(ticket) => ticket,
                None => continue,
            },
        };
        *shared.tasks.borrow_mut() += TASKS_PER_JOB;
        let keyed = rng.random_bool(0.03);
        let phase = *shared.phase.borrow();
        let header = if keyed {
            ("idempotency-key", format!("{}-{salt}", clementined::logging::unix_ms() / 1_000))
        } else {
            ("ticket", ticket.clone())
        };
        let job = job_of(&ticket);
        let told = Told { ticket, job, request, answers: Vec::new(), phase, keyed };
        let told = ask_until_answered(&caller, &entries, &mut rng, told, header).await;
        next_ticket = told.1;
        if told.0.answers.is_empty() {
            *shared.unanswered.borrow_mut() += 1;
        }
        shared.told.borrow_mut().push(told.0);
    }
}

/// Submits once, sometimes twice at the same time, and again after a lost or unknown answer.
async fn ask_until_answered(
    caller: &Caller,
    entries: &[SocketAddr],
    rng: &mut SmallRng,
    mut told: Told,
    header: (&'static str, String),
) -> (Told, Option<String>) {
    let mut next = None;
    for attempt in 0..4 {
        let entry = entries[rng.random_range(0..entries.len())];
        let twice = attempt == 0 && rng.random_bool(0.1);
        let other = entries[rng.random_range(0..entries.len())];
        let wait_ms = if rng.random_bool(0.1) { 20 } else { 20_000 };
        let first = submit(caller, entry, Some(header.clone()), &told.request, wait_ms);
        let answers = if twice {
            let second = submit(caller, other, Some(header.clone()), &told.request, wait_ms);
            let (first, second) = futures_util::future::join(first, second).await;
            vec![first, second]
        } else {
            vec![first.await]
        };
        let mut settled = false;
        for answer in answers {
            if let Ok((_, Some(answer))) = answer {
                settled |= note(&mut told, &answer);
                next = answer.next_tickets.first().cloned();
            }
        }
        if settled {
            return (told, next);
        }
        actix_rt::time::sleep(Duration::from_millis(rng.random_range(50..400))).await;
    }
    (told, next)
}

/// Notes an answer and tells whether it is final.
fn note(told: &mut Told, answer: &AnswerBody) -> bool {
    if told.keyed && !answer.ticket.is_empty() {
        told.ticket.clone_from(&answer.ticket);
        told.job = job_of(&answer.ticket);
    }
    if answer.verdict == Verdict::Running {
        return false;
    }
    let whole = answer.verdict != Verdict::Complete || has_valid_digests(&told.request, answer);
    told.answers.push((answer.verdict, answer.reason, whole));
    answer.verdict != Verdict::Unknown
}

async fn draw(caller: &Caller, entries: &[SocketAddr], rng: &mut SmallRng) -> Option<String> {
    let entry = entries[rng.random_range(0..entries.len())];
    let drawn: Result<callers::render::TicketsBody, _> =
        caller.get(entry, "/v1/tickets?count=1", 2_000).await;
    if let Ok(body) = drawn {
        return body.tickets.into_iter().next();
    }
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    None
}

/// Resubmits what was refused or is unknown once more at the end: a refusal must stay true, and
/// what a dead home left may be proved by now. Gives what the unknown ones came to.
async fn ask_everyone_again(children: &Children, shared: &Shared) -> Settled {
    let caller = Caller::new();
    let entries = children.callers();
    let mut settled = BTreeMap::new();
    let count = shared.told.borrow().len();
    for place in 0..count {
        let told = shared.told.borrow()[place].clone();
        let refused = told.answers.iter().any(|(verdict, _, _)| *verdict == Verdict::NotRun);
        let unknown = told.answers.last().is_none_or(|last| last.0 == Verdict::Unknown);
        if told.keyed || !(refused || unknown) {
            continue;
        }
        let entry = entries[place % entries.len()];
        let header = ("ticket", told.ticket.clone());
        let answer = submit(&caller, entry, Some(header), &told.request, 10_000).await;
        if let Ok((_, Some(answer))) = answer {
            if unknown {
                let verdict = dispatch::report::name_of(&answer.verdict);
                *settled.entry((told.phase, verdict)).or_insert(0) += 1;
            }
            let mut all = shared.told.borrow_mut();
            note(&mut all[place], &answer);
        }
    }
    settled
}

fn job_of(ticket: &str) -> String {
    let keys = Keyring::new(Key { id: 1, secret: [0x5e; 32] }, Vec::new());
    keys.check(ticket).map(|ticket| ticket.job.to_string()).unwrap_or_default()
}

/// Messages per submission of one task for each way in.
#[derive(Clone, Debug)]
struct MessageTable {
    rows: Vec<(&'static str, f64)>,
    table: Vec<(&'static str, f64)>,
}

async fn messages(children: &Children) -> Result<MessageTable, String> {
    const ROUNDS: usize = 40;
    let caller = Caller::new();
    let entries = children.callers();
    let mut rows = Vec::new();
    for way in ["a ticket at home", "a forwarded ticket", "a bare key"] {
        let before = counted(&caller, children).await?;
        for round in 0..ROUNDS {
            let salt = 9_000_000 + round as u64;
            let job = coverage_job("coverage-check", &[20], &[20], salt);
            let header = if way == "a bare key" {
                let second = clementined::logging::unix_ms() / 1_000;
                ("idempotency-key", format!("{second}-m{round}"))
            } else {
                let drawn: callers::render::TicketsBody = caller
                    .get(entries[0], "/v1/tickets?count=1", 2_000)
                    .await
                    .map_err(|error| error.to_string())?;
                ("ticket", drawn.tickets.into_iter().next().unwrap_or_default())
            };
            let entry = if way == "a forwarded ticket" { entries[3] } else { entries[0] };
            let answer = submit(&caller, entry, Some(header), &job, 5_000).await;
            answer.map_err(|error| error.to_string())?;
        }
        let after = counted(&caller, children).await?;
        rows.push((way, (after - before) / ROUNDS as f64));
    }
    // What the alternatives would send on the same work, by their definition.
    let peers = (DAEMONS - 1) as f64;
    let table = vec![
        ("broadcast to every daemon, one answer each", 2.0 * peers),
        ("a registry: claim and read before each start", 4.0),
        ("a registry and a forward", 6.0),
        ("delivery by the address in the ticket, at home", 0.0),
        ("delivery by the address in the ticket, forwarded", 2.0),
    ];
    Ok(MessageTable { rows, table })
}

/// Counts forwards and log messages for submissions; the background follows apart from them.
async fn counted(caller: &Caller, children: &Children) -> Result<f64, String> {
    let mut total = 0.0;
    for addr in children.operators() {
        let state = state(caller, addr).await.map_err(|error| error.to_string())?;
        total += state["traffic"]["forward_messages"].as_f64().unwrap_or(0.0);
        total += state["traffic"]["submission_log_messages"].as_f64().unwrap_or(0.0);
    }
    Ok(total)
}

fn report(
    shared: &Shared,
    ledgers: &Ledgers,
    deeds: &Deeds,
    messages: &MessageTable,
    (shares, settled): &(Shares, Settled),
) -> bool {
    let told = shared.told.borrow();
    let jobs = told.len();
    let tasks = ledgers.starts.len();
    let doubled = ledgers.starts.values().filter(|starts| **starts > 1).count();
    let not_run: Vec<&Told> = told
        .iter()
        .filter(|told| told.answers.iter().any(|(verdict, _, _)| *verdict == Verdict::NotRun))
        .collect();
    let false_refusals =
        not_run.iter().filter(|told| ledgers.job_started(&told.job, TASKS_PER_JOB)).count();
    let crossed = told.iter().flat_map(|told| &told.answers).filter(|(_, _, whole)| !whole).count();
    let contradicting = told.iter().filter(|told| contradicts(told)).count();
    println!("\ndeeds: {deeds:?}");
    println!("submissions                      {jobs}");
    println!("tasks started                    {tasks}");
    println!("starts per task, most            {} (target 1)", ledgers.max_starts_per_task());
    println!("doubled tasks                    {doubled} (target 0)");
    for task in ledgers.duplicate_starts.iter().take(SHOWN) {
        let owner = told.iter().find(|told| task.starts_with(&format!("{}.", told.job)));
        println!("  {task} {:?}", owner.map(|told| (told.phase, told.keyed, &told.answers)));
    }
    println!("false 'not run'                  {false_refusals} of {} (target 0)", not_run.len());
    println!("crossed or partial answers       {crossed} (target 0)");
    println!("contradicting answers            {contradicting} (target 0)");
    let lost = *shared.unanswered.borrow();
    println!("callers without any answer       {lost} (connections refused or lost 4 times)");
    for (phase, (unknown, all, reasons)) in shares {
        println!("unknown in {phase:14} {unknown:5} of {all:6}  {reasons:?}");
    }
    println!("the unknown ones with tickets, asked again at the end:");
    for ((phase, verdict), count) in settled {
        println!("  {phase:14} {verdict:10} {count:5}");
    }
    let drain = shares.get("drain").map_or(0, |share| share.0);
    let outage = shares.get("log outage").map_or(0, |share| share.0);
    println!("messages per submission beside the request, its answer and the work itself:");
    for (way, count) in &messages.rows {
        println!("  {way:20} {count:.2} (measured)");
    }
    for (way, count) in &messages.table {
        println!("  {way:50} {count:.0} (by definition)");
    }
    let home = messages.rows[0].1;
    println!("unknown per drain {drain}, per log outage with tickets {outage} (targets 0)");
    let clean = doubled + false_refusals + crossed + contradicting == 0;
    clean && drain == 0 && outage == 0 && home < 0.005 && tasks > 0
}

/// Tells whether a ticket was answered both as run and as not run.
fn contradicts(told: &Told) -> bool {
    let has = |wanted| told.answers.iter().any(|(verdict, _, _)| *verdict == wanted);
    has(Verdict::NotRun) && (has(Verdict::Complete) || has(Verdict::Failed))
}

type UnknownShare = (usize, usize, HashMap<String, usize>);
type Shares = BTreeMap<&'static str, UnknownShare>;
type Settled = BTreeMap<(&'static str, String), usize>;

/// Counts jobs by the phase that they began in whose last answer is unknown; bare keys apart.
fn unknown_shares(told: &[Told]) -> Shares {
    let mut shares = BTreeMap::new();
    for told in told {
        let phase = if told.keyed { "bare keys" } else { told.phase };
        let share: &mut UnknownShare = shares.entry(phase).or_default();
        share.1 += 1;
        if let Some((Verdict::Unknown, reason, _)) = told.answers.last() {
            share.0 += 1;
            *share.2.entry(dispatch::report::name_of(reason)).or_insert(0) += 1;
        }
    }
    shares
}

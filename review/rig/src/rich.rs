//! Random jobs of several steps, with labels and limits, under random faults.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use adapter::worker_calls::WorkerCall;
use pool::job::{JobSpec, Step, TaskName};
use pool::resources::Resources;
use standins::pool_worker_server::{Behaviour, LateOrders};

use crate::Verdict;
use crate::installation::{Failure, Installation, Setup, Worker, ZoneLayout, worker_capacity};
use crate::label::config;

const PREFIX: &str = "/lohu930/";
const KINDS: &[&str] = &["a", "a", "a", "b", "b", "b", "a", "b"];
const ZONES: &[ZoneLayout] = &[("bahirdar-a", 2, KINDS), ("gondar-b", 2, KINDS)];

#[derive(Default)]
struct World {
    jobs: HashMap<Rc<str>, JobSpec>,
    workers: Vec<Rc<Worker>>,
    done: HashMap<String, bool>,
    active: HashMap<(String, String), (tokio::time::Instant, tokio::time::Instant)>,
    started: HashMap<Rc<str>, usize>,
    answers: HashMap<Rc<str>, Vec<String>>,
}

pub async fn play(setup: Setup, has_trouble: bool) -> Result<Verdict, Failure> {
    let record = setup.record.clone();
    let world: Rc<RefCell<World>> = Rc::default();
    let breaks = Rc::new(Cell::new(0));
    let on_call = {
        let (record, world, breaks) = (record.clone(), Rc::clone(&world), Rc::clone(&breaks));
        move |worker: &Worker, call: &WorkerCall, has_started: bool| {
            let WorkerCall::Start(start) = call else { return };
            if !has_started {
                return;
            }
            check(&record, &world, &breaks, worker, &start.task, start.run);
        }
    };
    let mut config = config();
    config.routes[0].terms.timeout_ms = 6_000;
    config.routes[0].terms.stretch = 4.0;
    config.routes[0].terms.target_ms = 800;
    let mut installation =
        Installation::start(setup, &config, ZONES, Resources::default(), on_call).await?;
    world.borrow_mut().workers = installation.workers.clone();
    let watched = Rc::clone(&world);
    actix_rt::spawn(async move {
        loop {
            observe(&watched);
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    });
    let play_s: u64 = std::env::var("PLAY_S").ok().and_then(|s| s.parse().ok()).unwrap_or(60);
    let started = tokio::time::Instant::now();
    let mut number: u64 = rand::random();
    let mut next_fault = started + Duration::from_secs(2);
    while started.elapsed() < Duration::from_secs(play_s) {
        number = number.wrapping_add(0x9E37_79B9);
        let job = draw_job(number);
        world.borrow_mut().jobs.insert(Rc::clone(&job.id), job.clone());
        let at = rand::random_range(0..installation.daemons.len());
        let wait_ms = [1_500, 2_500, 6_000][rand::random_range(0..3)];
        let addrs: Vec<_> = installation.daemons.iter().map(|d| d.callers).collect();
        let first = installation.submit(addrs[at], PREFIX, &job, wait_ms);
        let second_at = rand::random_range(0..addrs.len());
        let second = installation.submit(addrs[second_at], PREFIX, &job, wait_ms);
        let world2 = Rc::clone(&world);
        actix_rt::spawn(async move {
            let leaves_ms =
                if rand::random_bool(0.3) { rand::random_range(100..900) } else { 60_000 };
            let lost = httpedge::client::CallError::ReplyLost(addrs[at]);
            let mut answer = actix_rt::time::timeout(Duration::from_millis(leaves_ms), first)
                .await
                .unwrap_or(Err(lost));
            let is_final =
                |a: &Result<(u16, String), _>| matches!(a, Ok((s, _)) if *s != 504 && *s != 502);
            let push = |a: &Result<(u16, String), httpedge::client::CallError>| {
                world2
                    .borrow_mut()
                    .answers
                    .entry(Rc::clone(&job.id))
                    .or_default()
                    .push(format!("{a:?}"));
            };
            push(&answer);
            if !is_final(&answer) {
                actix_rt::time::sleep(Duration::from_millis(1_300)).await;
                answer = second.await;
                push(&answer);
            }
        });
        if has_trouble && tokio::time::Instant::now() >= next_fault {
            next_fault += Duration::from_millis(rand::random_range(200..1_500));
            fault(&mut installation).await?;
        }
        actix_rt::time::sleep(Duration::from_millis(35)).await;
    }
    for d in &installation.daemons {
        d.signal("CONT");
    }
    actix_rt::time::sleep(Duration::from_secs(9)).await;
    let world = world.borrow();
    let mut kinds: HashMap<&str, usize> = HashMap::new();
    for (id, answers) in &world.answers {
        let all_refused =
            answers.iter().all(|a| a.starts_with("Ok((429") || a.starts_with("Ok((503"));
        let n = world.started.get(id).copied().unwrap_or(0);
        if all_refused && n > 0 {
            breaks.set(breaks.get() + 1);
            record.line(format!("BROKEN REFUSED {id} started {n} answers={answers:?}"));
        }
        let completed = answers.iter().any(|a| a.contains("completed"));
        if completed {
            let job = &world.jobs[id];
            for (s, step) in job.steps.iter().enumerate() {
                for i in 0..step.count {
                    if !world.done.contains_key(&format!("{id}.0.{s}.{i}")) {
                        breaks.set(breaks.get() + 1);
                        record.line(format!(
                            "BROKEN MIXED {id} step {s} task {i} not done; answers={answers:?}"
                        ));
                    }
                }
            }
        }
        let key = match answers.last().map(String::as_str) {
            Some(a) if a.contains("completed") => "completed",
            Some(a) if a.contains("failed") => "failed",
            Some(a) if a.starts_with("Ok((429") => "429",
            Some(a) if a.starts_with("Ok((504") => "504",
            Some(a) if a.starts_with("Ok((503") => "503",
            Some(a) if a.starts_with("Ok") => "other",
            _ => "none",
        };
        *kinds.entry(key).or_default() += 1;
    }
    println!("jobs={} {kinds:?} broken={}", world.jobs.len(), breaks.get());
    Ok(if breaks.get() > 0 { Verdict::Broken } else { Verdict::Held })
}

fn draw_job(number: u64) -> JobSpec {
    let steps = rand::random_range(1..=3);
    let steps = (0..steps).map(|index: usize| {
        let cpu = [4_000, 8_000, 14_000, 20_000][rand::random_range(0..4)];
        Step {
            count: rand::random_range(1..=6),
            task_resources: Resources { cpu_millicores: cpu, memory_mb: 64, accelerators: 0 },
            estimate_ms: 250,
            after: if index > 0 && rand::random_bool(0.8) {
                vec![rand::random_range(0..index)]
            } else {
                vec![]
            },
            required_label: match rand::random_range(0..4) {
                0 => Some("a".into()),
                1 => Some("b".into()),
                _ => None,
            },
            data_rack: None,
            max_per_worker: [0, 1, 2][rand::random_range(0..3)],
        }
    });
    let ms = [120, 250, 250, 600, 1_200, 6_000][rand::random_range(0..6)];
    JobSpec {
        id: Rc::from(format!("{number:016x}")),
        payload: Rc::from(ms.to_string()),
        steps: steps.collect(),
    }
}

fn check(
    record: &crate::record::Record,
    world: &Rc<RefCell<World>>,
    breaks: &Rc<Cell<usize>>,
    worker: &Worker,
    task: &TaskName,
    run: u32,
) {
    observe(world);
    let mut w = world.borrow_mut();
    *w.started.entry(Rc::clone(&task.job)).or_default() += 1;
    let Some(job) = w.jobs.get(&task.job).cloned() else { return };
    let step = &job.steps[task.step as usize];
    let broke = |what: String| {
        breaks.set(breaks.get() + 1);
        record.line(format!("BROKEN {what} task={task} run={run} worker={} ", worker.id));
    };
    if step.required_label.as_deref().is_some_and(|label| label != *worker.kind.borrow()) {
        broke("ROUTE label".into());
    }
    for other in w.workers.iter().filter(|other| other.id != worker.id) {
        if other.server.is_running(task) {
            broke(format!("TWICE also on {}", other.id));
        }
    }
    for after in &step.after {
        for i in 0..job.steps[*after].count {
            let name = format!("{}.0.{after}.{i}", task.job);
            if !w.done.contains_key(&name) {
                broke(format!("ORDER before {name}"));
            }
        }
    }
    let (mut used, mut same) = (0, 0);
    let mut list = Vec::new();
    // The state of the worker is borrowed by the caller's call only until the hook is called.
    worker.server.observe_active(|active, _, _| {
        let Some(job) = w.jobs.get(&active.job) else { return };
        used += job.steps[active.step as usize].task_resources.cpu_millicores;
        list.push(active.to_string());
        if active.job == task.job && active.step == task.step {
            same += 1;
        }
    });
    if used > worker_capacity().cpu_millicores {
        broke(format!("LIMIT used={used} {list:?}"));
    }
    if step.max_per_worker > 0 && same > step.max_per_worker {
        broke(format!("ROUTE max {same}>{}", step.max_per_worker));
    }
    let ms: u64 = job.payload.parse().unwrap_or(10);
    let ends = tokio::time::Instant::now() + Duration::from_millis(ms);
    w.active
        .insert((task.to_string(), worker.id.clone()), (ends, ends - Duration::from_millis(ms)));
}

/// Follows the active runs: a run that was last seen with a lease beyond the end of its work is done.
fn observe(world: &Rc<RefCell<World>>) {
    let mut world = world.borrow_mut();
    let World { workers, active, done, .. } = &mut *world;
    let now = tokio::time::Instant::now();
    let mut seen = std::collections::HashSet::new();
    for worker in workers.iter() {
        worker.server.observe_active(|task, _, left| {
            let key = (task.to_string(), worker.id.clone());
            if let Some(known) = active.get_mut(&key) {
                known.1 = now + left;
            }
            seen.insert(key);
        });
    }
    active.retain(|key, (ends, until)| {
        if seen.contains(key) {
            return true;
        }
        if *until + Duration::from_millis(60) >= *ends && now + Duration::from_millis(90) >= *ends {
            done.insert(key.0.clone(), true);
        }
        false
    });
}

async fn fault(installation: &mut Installation) -> Result<(), Failure> {
    let at = rand::random_range(0..installation.daemons.len());
    let worker =
        Rc::clone(&installation.workers[rand::random_range(0..installation.workers.len())]);
    let what = rand::random_range(0..13);
    installation.record.line(format!(
        "fault {what} daemon={} worker={}",
        installation.daemons[at].name, worker.id
    ));
    match what {
        0 => installation.daemons[at].start_again()?,
        1 => {
            installation.daemons[at].signal("TERM");
            actix_rt::time::sleep(Duration::from_millis(rand::random_range(100..2_000))).await;
            installation.daemons[at].start_again()?;
        }
        2 | 3 => {
            installation.daemons[at].signal("STOP");
            actix_rt::time::sleep(Duration::from_millis(rand::random_range(100..1_200))).await;
            installation.daemons[at].signal("CONT");
        }
        4 => {
            actix_rt::spawn(async move {
                let kind = *worker.kind.borrow();
                worker.crash();
                actix_rt::time::sleep(Duration::from_millis(rand::random_range(50..1_500))).await;
                worker.start_again(kind);
                actix_rt::time::sleep(Duration::from_millis(rand::random_range(0..1_200))).await;
                worker.begin_pings();
            });
        }
        5 => {
            actix_rt::spawn(async move {
                let late = LateOrders { share_percent: 50, min_delay_ms: 300, max_delay_ms: 4_000 };
                worker.server.behaviour.set(Behaviour::LateOrders(late));
                actix_rt::time::sleep(Duration::from_millis(2_000)).await;
                worker.server.behaviour.set(Behaviour::Normal);
            });
        }
        6 => {
            actix_rt::spawn(async move {
                worker.server.behaviour.set(Behaviour::LosesReplies);
                actix_rt::time::sleep(Duration::from_millis(600)).await;
                worker.server.behaviour.set(Behaviour::Normal);
            });
        }
        7 => installation.store.rebalance(),
        9 => {
            let zone = installation.daemons[at].zone.clone();
            installation.cut_zone(&zone, true)?;
            actix_rt::time::sleep(Duration::from_millis(rand::random_range(100..2_500))).await;
            installation.cut_zone(&zone, false)?;
        }
        10 => {
            installation.store.behaviour.set(standins::metastore::StoreBehaviour::Silent);
            actix_rt::time::sleep(Duration::from_millis(rand::random_range(100..2_500))).await;
            installation.store.behaviour.set(standins::metastore::StoreBehaviour::Normal);
        }
        11 => {
            for q in &installation.daemons[at].quiet {
                q.silence();
            }
            for w in &installation.workers {
                w.quiet.silence();
            }
        }
        12 => {
            installation.daemons[at].signal("TERM");
            installation.daemons[at].signal("STOP");
            actix_rt::time::sleep(Duration::from_millis(rand::random_range(100..700))).await;
            installation.daemons[at].signal("CONT");
            actix_rt::time::sleep(Duration::from_millis(rand::random_range(100..3_000))).await;
            installation.daemons[at].start_again()?;
        }
        _ => {
            actix_rt::spawn(async move {
                worker.server.behaviour.set(Behaviour::Silent);
                actix_rt::time::sleep(Duration::from_millis(900)).await;
                worker.server.behaviour.set(Behaviour::Normal);
            });
        }
    }
    Ok(())
}

//! A rolling restart while callers use the connections that they hold open.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use rustix::process::Signal;
use tokio::net::TcpStream;

use crate::balancer::Balancer;
use crate::http::{is_closed, read_message, write_request};
use crate::record::Record;
use crate::setup::{Deployment, HOST, JobBody, PREFIX, job_id, kind, sleep};

const CLIENTS: u64 = 60;
/// How long callers wait for an answer, in milliseconds: the time limit of the sheets.
const LIMIT_MS: u64 = 1_500;
const RESEND_MS: u64 = 1_300;
const TRAFFIC_MS: u64 = 92_000;
const GRACE_MS: u64 = 6_000;
/// Pause between the end of a process and its next start, in milliseconds.
const RESTART_MS: u64 = 500;

/// A request whose connection ended without a complete answer.
struct Cut {
    job: String,
    daemon: usize,
    sent_ms: u64,
    ended_ms: u64,
}

pub async fn run(record: &Record, has_trouble: bool) -> std::io::Result<i32> {
    let mut deployment = Deployment::new(record, true, &["zone-a"]).await?;
    for _ in 0..8 {
        deployment.add_worker("zone-a", kind("a", 64), 0).await?;
    }
    deployment.add_daemon("zone-a")?;
    deployment.add_daemon("zone-a")?;
    if !deployment.settle().await {
        return Ok(2);
    }
    let fronts: Vec<_> = deployment.daemons.iter().map(|daemon| daemon.front).collect();
    let readies: Vec<_> = deployment.daemons.iter().map(|daemon| daemon.ready).collect();
    let balancer = Balancer::start(readies, record);
    let cuts: Rc<RefCell<Vec<Cut>>> = Rc::default();
    let answered = Rc::new(Cell::new(0_u64));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        clients.push(actix_rt::spawn(call_often(
            client,
            record.clone(),
            Rc::clone(&balancer),
            fronts.clone(),
            Rc::clone(&cuts),
            Rc::clone(&answered),
        )));
    }
    let mut terminated: Vec<(usize, u64)> = Vec::new();
    let traffic_from_ms = record.now_ms();
    sleep(6_000).await;
    let mut next = 0;
    while record.now_ms() < traffic_from_ms + TRAFFIC_MS - 9_000 {
        if !has_trouble {
            sleep(1_000).await;
            continue;
        }
        let at = next % deployment.daemons.len();
        next += 1;
        let daemon = &mut deployment.daemons[at];
        let term_ms = record.now_ms();
        terminated.push((at, term_ms));
        record.show(&format!("SIGTERM daemon={}", daemon.name));
        daemon.signal(Signal::TERM);
        while !daemon.has_ended() {
            if record.now_ms() > term_ms + GRACE_MS {
                record.show(&format!("SIGKILL daemon={}", daemon.name));
                daemon.signal(Signal::KILL);
            }
            sleep(5).await;
        }
        record.show(&format!("EXIT daemon={} after_ms={}", daemon.name, record.now_ms() - term_ms));
        sleep(RESTART_MS).await;
        daemon.spawn()?;
        sleep(4_000).await;
    }
    balancer.ended.set(true);
    for client in clients {
        let _ = client.await;
    }
    // A request is lost if the connection ends without a complete answer after it was passed on to
    // a worker, around a SIGTERM of the daemon that had read it.
    let mut lost = 0;
    for cut in cuts.borrow().iter() {
        let term =
            terminated.iter().rev().find(|(at, ms)| *at == cut.daemon && *ms <= cut.ended_ms);
        let Some((_, term_ms)) = term.filter(|(_, ms)| cut.ended_ms <= ms + GRACE_MS + 1_000)
        else {
            record.show(&format!("CUT job={} without a SIGTERM", cut.job));
            continue;
        };
        let runs = deployment.runs.borrow();
        let prefix = format!("{}.", cut.job);
        let of_job = runs.iter().filter(|run| run.task.starts_with(&prefix));
        let started: Vec<u64> =
            of_job.map(|run| run.from_ms).filter(|ms| *ms <= cut.ended_ms).collect();
        let after_ms = cut.ended_ms - cut.sent_ms;
        let is_lost = !started.is_empty() || after_ms > 200;
        record.show(&format!(
            "CUT job={} daemon={} sent {} ms after SIGTERM, no answer, connection ended {} ms \
             later; tasks begun before that: {}{}",
            cut.job,
            cut.daemon + 1,
            cut.sent_ms.saturating_sub(*term_ms),
            after_ms,
            started.len(),
            if is_lost { " LOST" } else { "" },
        ));
        lost += usize::from(is_lost);
    }
    record.show(&format!(
        "RESULT answered={} sigterms={} lost={lost}",
        answered.get(),
        terminated.len()
    ));
    Ok(i32::from(lost > 0))
}

async fn call_often(
    client: u64,
    record: Record,
    balancer: Rc<Balancer>,
    fronts: Vec<std::net::SocketAddr>,
    cuts: Rc<RefCell<Vec<Cut>>>,
    answered: Rc<Cell<u64>>,
) {
    let mut rng = SmallRng::seed_from_u64(client + 1);
    let mut connection: Option<(TcpStream, usize)> = None;
    while !balancer.ended.get() {
        sleep(rng.random_range(500..8_500)).await;
        // A connection that the daemon has closed meanwhile is not used again.
        if let Some((stream, _)) = &connection
            && is_closed(stream)
        {
            connection = None;
        }
        if connection.is_none() {
            let at = balancer.choose(client, 0);
            connection = TcpStream::connect(fronts[at]).await.ok().map(|stream| {
                let _ = stream.set_nodelay(true);
                (stream, at)
            });
        }
        let Some((mut stream, at)) = connection.take() else { continue };
        let (count, ms) = match rng.random_range(0..10) {
            0..7 => (2, 200),
            7..9 => (4, 60),
            _ => (2, 900),
        };
        let body = JobBody { count, cpu: 8_000, estimated_ms: ms, runs_ms: ms, label: None };
        let id = job_id();
        let sent_ms = record.now_ms();
        record.line(&format!("SEND job={id} daemon={} tasks={count} ms={ms}", at + 1));
        let extra = format!("X-Clementinedock-Deadline-Ms: {LIMIT_MS}\r\n");
        let call = async {
            let path = format!("{PREFIX}{id}");
            write_request(&mut stream, "POST", &path, HOST, &extra, &body.json()).await?;
            read_message(&mut stream).await
        };
        match tokio::time::timeout(Duration::from_millis(LIMIT_MS), call).await {
            Ok(Ok(Some(message))) => {
                record.line(&format!("ANSWER job={id} status={}", message.status()));
                answered.set(answered.get() + 1);
                if !message.closes() {
                    connection = Some((stream, at));
                }
            }
            Ok(Ok(None) | Err(_)) => {
                record.line(&format!("NO ANSWER job={id}: the connection ended"));
                let ended_ms = record.now_ms();
                cuts.borrow_mut().push(Cut { job: id.clone(), daemon: at, sent_ms, ended_ms });
                sleep(RESEND_MS).await;
                let front = fronts[balancer.choose(client, 0)];
                crate::setup::send_once(&record, front, &id, &body, LIMIT_MS).await;
            }
            Err(_) => record.line(&format!("TIME OVER job={id}")),
        }
    }
}

//! The larger one of two daemons of different sizes is killed and starts again.

use std::cell::RefCell;
use std::net::SocketAddr;
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

const CLIENTS: u64 = 24;
const LIMIT_MS: u64 = 1_500;
const RESEND_MS: u64 = 1_300;
/// Time from the kill until the daemon starts again, in milliseconds.
const DOWN_MS: u64 = 3_500;
/// The larger daemon.
const LARGE: usize = 1;
/// Time after which the system has to have recovered: `recoveryS`.
const RECOVERY_MS: u64 = 12_000;
const JUDGED_MS: u64 = 25_000;

/// A request of a client: when it was sent, by which daemon it was taken, and its status.
struct Call {
    sent_ms: u64,
    daemon: usize,
    status: u16,
}

pub async fn run(record: &Record, has_trouble: bool) -> std::io::Result<i32> {
    let mut deployment = Deployment::new(record, true, &["zone-a"]).await?;
    for _ in 0..6 {
        deployment.add_worker("zone-a", kind("a", 64), 0).await?;
    }
    deployment.add_sized_daemon("zone-a", "0.12")?;
    deployment.add_sized_daemon("zone-a", "0.5")?;
    // A daemon may be unready after the start; the platform then uses the others.
    sleep(6_000).await;
    let fronts: Vec<SocketAddr> = deployment.daemons.iter().map(|daemon| daemon.front).collect();
    let readies = deployment.daemons.iter().map(|daemon| daemon.ready).collect();
    let balancer = Balancer::start(readies, record);
    sleep(2_500).await;
    let calls: Rc<RefCell<Vec<Call>>> = Rc::default();
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (record, calls) = (record.clone(), Rc::clone(&calls));
        let call = call_often(client, record, Rc::clone(&balancer), fronts.clone(), calls);
        clients.push(actix_rt::spawn(call));
    }
    let from_ms = record.now_ms();
    sleep(10_000).await;
    let killed_ms = record.now_ms();
    if has_trouble {
        record.show(&format!("SIGKILL daemon={}", deployment.daemons[LARGE].name));
        deployment.daemons[LARGE].signal(Signal::KILL);
        while !deployment.daemons[LARGE].has_ended() {
            sleep(2).await;
        }
    }
    sleep((killed_ms + DOWN_MS).saturating_sub(record.now_ms())).await;
    if has_trouble {
        deployment.daemons[LARGE].spawn()?;
        record.show(&format!("START daemon={}", deployment.daemons[LARGE].name));
    }
    let back_ms = record.now_ms();
    sleep(RECOVERY_MS + JUDGED_MS).await;
    balancer.ended.set(true);
    for client in clients {
        let _ = client.await;
    }
    let share = |from_ms: u64, to_ms: u64, name: &str| {
        let calls = calls.borrow();
        let of_span = calls.iter().filter(|call| (from_ms..to_ms).contains(&call.sent_ms));
        let of_span: Vec<&Call> = of_span.collect();
        let served = of_span.iter().filter(|call| call.status == 200).count();
        let at_small = of_span.iter().filter(|call| call.daemon == 0).count();
        record.show(&format!(
            "{name}: {served} of {} served, {at_small} sent to the small daemon",
            of_span.len()
        ));
        served as f64 / of_span.len().max(1) as f64
    };
    let before = share(from_ms, killed_ms, "BEFORE");
    share(back_ms, back_ms + RECOVERY_MS, "RECOVERY");
    let judged_from_ms = back_ms + RECOVERY_MS;
    let after = share(judged_from_ms, judged_from_ms + JUDGED_MS, "JUDGED");
    let is_broken = before >= 0.25 && after < 0.25;
    record.show(&format!("RESULT before={before:.2} after={after:.2}"));
    Ok(i32::from(is_broken))
}

async fn call_often(
    client: u64,
    record: Record,
    balancer: Rc<Balancer>,
    fronts: Vec<SocketAddr>,
    calls: Rc<RefCell<Vec<Call>>>,
) {
    let mut rng = SmallRng::seed_from_u64(client + 1);
    let mut connection: Option<(TcpStream, usize)> = None;
    let mut attempt = 0;
    while !balancer.ended.get() {
        sleep(rng.random_range(200..700)).await;
        if connection.as_ref().is_some_and(|(stream, _)| is_closed(stream)) {
            connection = None;
        }
        if connection.is_none() {
            // A retry reaches another daemon.
            let at = balancer.choose(client, attempt);
            attempt += 1;
            connection = TcpStream::connect(fronts[at]).await.ok().map(|stream| (stream, at));
        }
        let Some((mut stream, at)) = connection.take() else {
            calls.borrow_mut().push(Call { sent_ms: record.now_ms(), daemon: 9, status: 0 });
            continue;
        };
        let body = JobBody { count: 1, cpu: 8_000, estimated_ms: 60, runs_ms: 60, label: None };
        let id = job_id();
        let sent_ms = record.now_ms();
        record.line(&format!("SEND job={id} daemon={}", at + 1));
        let extra = format!("X-Clementinedock-Deadline-Ms: {LIMIT_MS}\r\n");
        let call = async {
            let path = format!("{PREFIX}{id}");
            write_request(&mut stream, "POST", &path, HOST, &extra, &body.json()).await?;
            read_message(&mut stream).await
        };
        let limit = Duration::from_millis(LIMIT_MS + 500);
        let status = match tokio::time::timeout(limit, call).await {
            Ok(Ok(Some(message))) => {
                let text = String::from_utf8_lossy(&message.body).into_owned();
                let status = message.status();
                record.line(&format!("ANSWER job={id} status={status} {text}"));
                if !message.closes() {
                    connection = Some((stream, at));
                }
                status
            }
            _ => {
                record.line(&format!("NO ANSWER job={id}"));
                0
            }
        };
        calls.borrow_mut().push(Call { sent_ms, daemon: at, status });
        if status == 0 {
            sleep(RESEND_MS).await;
        }
    }
}

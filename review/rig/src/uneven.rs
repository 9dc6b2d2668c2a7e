//! Daemons of different capacity in one zone, disturbed one after the other. Each has to serve again.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use pool::job::{JobSpec, Step};
use standins::metastore::StoreBehaviour;

use crate::Verdict;
use crate::installation::{Failure, Installation, Setup, ZoneLayout, task_resources};
use crate::label::config;

const PREFIX: &str = "/lohu930/";
const KINDS: &[&str] = &["a", "a", "a", "b", "b", "b"];
const ZONES: &[ZoneLayout] = &[("bahirdar-a", 3, KINDS)];

pub async fn play(setup: Setup) -> Result<Verdict, Failure> {
    let record = setup.record.clone();
    let play_s: f64 = std::env::var("PLAY_S").ok().and_then(|s| s.parse().ok()).unwrap_or(100.0);
    let mut installation =
        Installation::start(setup, &config(), ZONES, task_resources(), |_, _, _| {}).await?;
    let mut broken = 0;
    let mut rounds = 0;
    let mut number: u64 = rand::random();
    while record.now_s() < play_s {
        rounds += 1;
        for _ in 0..rand::random_range(1..=3) {
            let at = rand::random_range(0..3);
            let what = rand::random_range(0..6);
            record.line(format!("fault {what} at {}", installation.daemons[at].name));
            let pause = Duration::from_millis(rand::random_range(100..3_500));
            match what {
                0 => {
                    installation.daemons[at].signal("KILL");
                    actix_rt::time::sleep(pause).await;
                    installation.daemons[at].start_again()?;
                }
                1 => installation.daemons[at].start_again()?,
                2 => {
                    installation.daemons[at].signal("STOP");
                    actix_rt::time::sleep(pause).await;
                    installation.daemons[at].signal("CONT");
                }
                3 => {
                    installation.daemons[at].signal("TERM");
                    actix_rt::time::sleep(pause).await;
                    installation.daemons[at].start_again()?;
                }
                4 => installation.store.rebalance(),
                _ => {
                    installation.store.behaviour.set(StoreBehaviour::Silent);
                    actix_rt::time::sleep(pause).await;
                    installation.store.behaviour.set(StoreBehaviour::Normal);
                }
            }
            actix_rt::time::sleep(Duration::from_millis(rand::random_range(0..1_500))).await;
        }
        actix_rt::time::sleep(Duration::from_secs(9)).await;
        let served = [(); 3].map(|()| Rc::new(Cell::new(0)));
        for _ in 0..24 {
            for (at, served) in served.iter().enumerate() {
                number = number.wrapping_add(1);
                let step = Step {
                    count: 1,
                    task_resources: task_resources(),
                    estimate_ms: 50,
                    ..Step::default()
                };
                let job = JobSpec {
                    id: Rc::from(format!("{number:016x}")),
                    payload: Rc::from("50"),
                    steps: vec![step],
                };
                let answer =
                    installation.submit(installation.daemons[at].callers, PREFIX, &job, 1_500);
                let served = Rc::clone(served);
                actix_rt::spawn(async move {
                    if matches!(answer.await, Ok((200, _))) {
                        served.set(served.get() + 1);
                    }
                });
            }
            actix_rt::time::sleep(Duration::from_millis(100)).await;
        }
        actix_rt::time::sleep(Duration::from_millis(1_600)).await;
        let served = served.map(|served| served.get());
        record.line(format!("served {served:?} of 24"));
        if served.iter().any(|served| *served < 12) {
            broken += 1;
            record.line("BROKEN");
        }
    }
    println!("rounds={rounds} broken={broken}");
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}

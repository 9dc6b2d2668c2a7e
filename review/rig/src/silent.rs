//! All open connections go silent; new ones work.
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use adapter::config::write_config;
use adapter::settings::{CONFIG_KEY, OPERATOR_TOPIC};
use pool::job::{JobSpec, Step};

use crate::Verdict;
use crate::installation::{Failure, Installation, Setup, ZoneLayout, task_resources};
use crate::label::config;

const PREFIX: &str = "/lohu930/";
const KINDS: &[&str] = &["a", "a", "a", "b", "b", "b"];
const ZONES: &[ZoneLayout] = &[("bahirdar-a", 2, KINDS), ("gondar-b", 2, KINDS)];

pub async fn play(setup: Setup, has_trouble: bool) -> Result<Verdict, Failure> {
    let record = setup.record.clone();
    let mut config = config();
    let installation =
        Installation::start(setup, &config, ZONES, task_resources(), |_, _, _| {}).await?;
    let breaks = Rc::new(Cell::new(0));
    let counts: Rc<RefCell<Vec<(f64, bool)>>> = Rc::default();
    for round in 0..8u64 {
        let t0 = record.now_s();
        let mut phase = 0;
        let mut number = round << 20;
        while record.now_s() < t0 + 9.0 {
            number += 1;
            let step = Step {
                count: 2,
                task_resources: task_resources(),
                estimate_ms: 200,
                ..Step::default()
            };
            let job = JobSpec {
                id: Rc::from(format!("{number:016x}")),
                payload: Rc::from("200"),
                steps: vec![step],
            };
            let d = &installation.daemons[number as usize % 4];
            let f = installation.submit(d.callers, PREFIX, &job, 1_500);
            let (counts, at) = (Rc::clone(&counts), record.now_s() - t0);
            actix_rt::spawn(async move {
                let ok = matches!(f.await, Ok((200, _)));
                counts.borrow_mut().push((at, ok));
            });
            let now = record.now_s() - t0;
            if phase == 0 && now >= 2.0 {
                phase = 1;
                if has_trouble {
                    for d in &installation.daemons {
                        for q in &d.quiet {
                            q.silence();
                        }
                    }
                    for w in &installation.workers {
                        w.quiet.silence();
                    }
                }
                record.line(format!("round {round} silent"));
            }
            if phase == 1 && now >= 2.0 + 0.99 {
                phase = 2;
                config.version += 1;
                let mut route = config.routes[0].clone();
                route.path_prefix = format!("/new{}/", config.version);
                config.routes.push(route);
                installation.store.put(OPERATOR_TOPIC, CONFIG_KEY, Some(write_config(&config)));
                record.line(format!("config {} written", config.version));
            }
            if phase == 2 && now >= 2.0 + 3.01 {
                phase = 3;
                for d in &installation.daemons {
                    let path = format!("/new{}/", config.version);
                    let a =
                        installation.send(d.callers, "GET", &path, Vec::new(), 1_000, None).await;
                    record.line(format!("{} {a:?}", d.name));
                    if matches!(a, Ok((404, _))) {
                        breaks.set(breaks.get() + 1);
                        record.line(format!("BROKEN CONFIG at {}", d.name));
                    }
                }
            }
            actix_rt::time::sleep(Duration::from_millis(30)).await;
        }
    }
    let counts = counts.borrow();
    for s in 0..9 {
        let of: Vec<bool> =
            counts.iter().filter(|(at, _)| *at as usize == s).map(|(_, ok)| *ok).collect();
        println!("second {s}: {} of {}", of.iter().filter(|ok| **ok).count(), of.len());
    }
    println!("broken={}", breaks.get());
    Ok(if breaks.get() > 0 { Verdict::Broken } else { Verdict::Held })
}

//! Replays the loads that the queue, the refusals and the choice of cells are meant for.

use lab::description::{Description, load, parse};
use lab::play::play;
use lab::report::Report;

const SEEDS: std::ops::Range<u64> = 1..5;
/// Of the jobs that are taken, the share that is answered within its objective: our target.
const TAKEN_IN_TIME: f64 = 0.9;
/// No kind is answered in time less than this share of the mean: our target.
const LEAST_OF_MEAN: f64 = 0.8;

fn description(name: &str) -> Description {
    let file = format!("{}/data/{name}.ini", env!("CARGO_MANIFEST_DIR"));
    load(&file).expect("the description is good")
}

fn plays(name: &str) -> Report {
    let description = description(name);
    let mut reports = SEEDS.map(|seed| play(&description, seed));
    let mut sum = reports.next().expect("there are seeds");
    for report in reports {
        sum.add(&report);
    }
    sum
}

fn taken_in_time(report: &Report) -> f64 {
    let all = report.all();
    all.in_time as f64 / (all.asked - all.refused) as f64
}

fn assert_fair(report: &Report) {
    let mean = report.mean_in_time();
    for (kind, counts) in &report.kinds {
        let share = counts.in_time_share();
        assert!(share >= LEAST_OF_MEAN * mean, "{kind}: {share:.3} of {mean:.3}");
    }
}

#[test]
fn a_calm_load_is_answered_in_time_and_none_of_it_refused_for_long() {
    let report = plays("calm");
    assert!(taken_in_time(&report) >= TAKEN_IN_TIME, "{report}");
    assert_fair(&report);
}

/// Load pattern: as much work as packs. Late jobs would fill the queue so that all are just late.
#[test]
fn at_full_load_the_jobs_that_are_taken_are_answered_in_time() {
    let report = plays("full");
    assert!(taken_in_time(&report) >= TAKEN_IN_TIME, "{report}");
    assert_fair(&report);
}

/// Load pattern: a sixth more work than packs.
#[test]
fn above_full_load_no_kind_is_sacrificed() {
    assert_fair(&plays("over"));
}

/// Load pattern: above full load what cannot be in time is refused, so that the rest is.
#[test]
fn above_full_load_the_jobs_that_are_taken_are_answered_in_time() {
    let report = plays("over");
    assert!(taken_in_time(&report) >= TAKEN_IN_TIME, "{report}");
}

#[test]
fn a_seed_always_gives_the_same_result() {
    let description = description("lost");
    let (first, second) = (play(&description, 3), play(&description, 3));
    assert_eq!(first, second);
    assert_ne!(first.kinds, play(&description, 4).kinds);
}

#[test]
fn every_job_has_one_fate() {
    for name in ["calm", "full", "over", "lost"] {
        let description = description(name);
        let asked: u64 = play(&description, 1).all().asked;
        let mut rng = rand::SeedableRng::seed_from_u64(1);
        let drawn = lab::draw::jobs(&description, &mut rng).len();
        assert_eq!(asked, drawn as u64, "{name}");
    }
}

#[test]
fn a_description_that_is_wrong_names_section_key_and_remedy() {
    let good = "[installation]\nzones=1\nworkers=2\ncores=64\npaces=1\n[load]\nspan_ms=10\n";
    assert!(parse("x.ini", good).is_ok());
    let cases = [
        ("zones=1", "zones=one", "x.ini: [installation] zones is missing or cannot be used"),
        ("cores=64", "cores=", "x.ini: [installation] cores is missing or cannot be used"),
        ("span_ms=10", "", "x.ini: [load] span_ms is missing or cannot be used"),
        ("[load]", "[kind k]\ntasks=1\n[load]", "x.ini: [kind k] cores is missing"),
    ];
    for (text, replaced, expected) in cases {
        let error = parse("x.ini", &good.replace(text, replaced)).expect_err(expected).to_string();
        assert!(error.starts_with(expected), "{error}");
    }
}

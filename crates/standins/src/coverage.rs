//! The work of the stand-in workers: coverage checks over a committed sample.

use serde::{Deserialize, Serialize};

const SAMPLE: &str = include_str!("../data/ferrandi.json");

/// The committed sample of contracts and dish histories.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Sample {
    /// The dishes.
    pub dishes: Vec<Dish>,
    /// The contracts.
    pub contracts: Vec<Contract>,
}

/// One dish with its alignment history.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Dish {
    /// Its number.
    pub dish: String,
    /// Where it stands.
    pub site: String,
    /// Its diameter in metres.
    pub diameter_m: f64,
    /// Its alignment by month.
    pub alignment: Vec<Alignment>,
}

/// One month's alignment.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Alignment {
    /// The month.
    pub month: String,
    /// The error in degrees.
    pub error_deg: f64,
}

/// One contract.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Contract {
    /// Its number.
    pub contract: String,
    /// The client.
    pub client: String,
    /// The dish that it covers.
    pub dish: String,
    /// The repairs that it covers.
    pub covers: Vec<String>,
    /// Call-outs left this year.
    pub callouts_left: u32,
    /// The alignment error from which a correction is covered.
    pub max_error_deg: f64,
}

/// What a task asks.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct Question {
    /// How long the work takes, in milliseconds.
    #[serde(default)]
    pub work_ms: u64,
    /// The contract's number.
    #[serde(default)]
    pub contract: String,
    /// The repair in question.
    #[serde(default)]
    pub repair: String,
    /// Whether the task fails by its own fault.
    #[serde(default)]
    pub broken: bool,
}

/// Reads the committed sample.
pub fn sample() -> Sample {
    serde_json::from_str(SAMPLE).unwrap_or(Sample { dishes: Vec::new(), contracts: Vec::new() })
}

/// Reads a task's input; unreadable input asks nothing.
pub fn question_of(input: &str) -> Question {
    serde_json::from_str(input).unwrap_or_default()
}

/// Answers a question.
pub fn answer(sample: &Sample, question: &Question) -> String {
    let Some(contract) = sample.contracts.iter().find(|c| c.contract == question.contract) else {
        return "no such contract".to_owned();
    };
    let covered = contract.covers.contains(&question.repair);
    let dish = sample.dishes.iter().find(|dish| dish.dish == contract.dish);
    let worst = dish.into_iter().flat_map(|dish| &dish.alignment);
    let worst_deg = worst.map(|month| month.error_deg).fold(0.0, f64::max);
    let realign = worst_deg > contract.max_error_deg;
    let billable = !covered || contract.callouts_left == 0;
    format!("{} covered={covered} realign={realign} billable={billable}", contract.contract)
}

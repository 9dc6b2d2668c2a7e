//! Task payload of the test double of a worker: contract coverage checks on a built-in data set.

use serde::{Deserialize, Serialize};

const SAMPLE: &str = include_str!("../data/ferrandi.json");

/// Built-in data set of contracts and dish alignment histories.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Sample {
    /// Dishes that contracts refer to.
    pub dishes: Vec<Dish>,
    /// Contracts that requests refer to.
    pub contracts: Vec<Contract>,
}

/// A dish antenna and its alignment history.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Dish {
    /// Dish number, to which [`Contract::dish`] refers.
    pub dish: String,
    /// Location of the dish.
    pub site: String,
    /// Diameter in metres.
    pub diameter_m: f64,
    /// Alignment measurements, one per month.
    pub alignment: Vec<Alignment>,
}

/// Alignment of a dish in one month.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Alignment {
    /// Month of the measurement.
    pub month: String,
    /// Alignment error in degrees.
    pub error_deg: f64,
}

/// Maintenance contract for one dish.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Contract {
    /// Contract number.
    pub contract: String,
    /// Client that holds the contract.
    pub client: String,
    /// Number of the covered dish.
    pub dish: String,
    /// Kinds of repair that the contract covers.
    pub covers: Vec<String>,
    /// Remaining call-outs this year; without any, a covered repair is billable too.
    pub callouts_left: u32,
    /// Alignment error in degrees above which the dish is due for realignment.
    pub max_error_deg: f64,
}

/// Input of a task: a coverage check, and how the simulated work behaves.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct CoverageRequest {
    /// Duration of the work in milliseconds, before [`Faults::slow_factor`] is applied.
    ///
    /// [`Faults::slow_factor`]: crate::worker::Faults::slow_factor
    #[serde(default)]
    pub work_ms: u64,
    /// Number of the contract to check.
    #[serde(default)]
    pub contract: String,
    /// Kind of repair to check.
    #[serde(default)]
    pub repair: String,
    /// Whether the task itself fails, on any worker.
    #[serde(default)]
    pub broken: bool,
}

/// Returns the built-in data set, or an empty one if it cannot be parsed.
pub fn sample() -> Sample {
    serde_json::from_str(SAMPLE).unwrap_or(Sample { dishes: Vec::new(), contracts: Vec::new() })
}

/// Parses a task's input. Invalid input gives the default request: no work and no known contract.
pub fn parse_request(input: &str) -> CoverageRequest {
    serde_json::from_str(input).unwrap_or_default()
}

/// Checks coverage and returns the result as one line of text.
pub fn check_coverage(sample: &Sample, request: &CoverageRequest) -> String {
    let Some(contract) = sample.contracts.iter().find(|c| c.contract == request.contract) else {
        return "no such contract".to_owned();
    };
    let covered = contract.covers.contains(&request.repair);
    let dish = sample.dishes.iter().find(|dish| dish.dish == contract.dish);
    let months = dish.into_iter().flat_map(|dish| &dish.alignment);
    let worst_deg = months.map(|month| month.error_deg).fold(0.0, f64::max);
    let realign = worst_deg > contract.max_error_deg;
    let billable = !covered || contract.callouts_left == 0;
    format!("{} covered={covered} realign={realign} billable={billable}", contract.contract)
}

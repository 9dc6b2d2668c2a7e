//! Commands that print a daemon's state and what it knows about a ticket.

use serde_json::Value;

use crate::cli::TicketArgs;
use crate::error::CtlError;
use crate::exit_codes::SUCCESS;
use crate::output;
use crate::run::{CommandContext, OPERATOR_TIMEOUT_MS};

impl CommandContext {
    /// Prints the state of the daemon.
    ///
    /// # Errors
    /// Returns an error if the call to the daemon fails.
    pub async fn state(&self) -> Result<u8, CtlError> {
        let state: Value =
            self.client.get(self.operator_addr, "/v1/state", OPERATOR_TIMEOUT_MS).await?;
        if self.json {
            output::print_json(&state);
            return Ok(SUCCESS);
        }
        for key in ["incarnation", "zone", "phase", "catalogue_offset", "reaches_log"] {
            println!("{key:20} {}", state[key]);
        }
        println!("{:20} {}", "cut_off_zones", state["cut_off_zones"]);
        for key in ["open_jobs", "queued_tasks", "running_tasks", "free_slots", "in_doubt"] {
            println!("{key:20} {}", state["engine"][key]);
        }
        println!("{:20} {}", "refusals", state["engine"]["counters"]["refusals"]);
        for worker in state["engine"]["workers"].as_array().into_iter().flatten() {
            println!(
                "worker {:21} {:14} slots held {:3} in use {:3} {}",
                worker["addr"].as_str().unwrap_or_default(),
                worker["zone"].as_str().unwrap_or_default(),
                worker["credits"],
                worker["outstanding"],
                worker["state"].as_str().unwrap_or_default(),
            );
        }
        Ok(SUCCESS)
    }

    /// Prints what the daemon knows about a ticket and its job.
    ///
    /// # Errors
    /// Returns an error if the call fails or the daemon rejects the ticket.
    pub async fn explain(&self, args: &TicketArgs) -> Result<u8, CtlError> {
        let path = format!("/v1/explain/{}", args.ticket);
        let body: Value = self.client.get(self.operator_addr, &path, OPERATOR_TIMEOUT_MS).await?;
        if self.json {
            output::print_json(&body);
            return Ok(SUCCESS);
        }
        println!("ticket of job {}", body["ticket_job"]);
        println!("home {} in zone {}", body["home"], body["home_zone"]);
        if !body["successor"].is_null() {
            println!("the home drained; its successor is {}", body["successor"]);
        }
        if body["answered_here"] == false {
            println!("this daemon does not answer for it; ask the home or the successor");
            return Ok(SUCCESS);
        }
        let here = &body["here"];
        println!("phase {}, accepted {} ms ago", here["phase"], here["age_ms"]);
        println!("waiting {}, ended {}", here["waiting"], here["ended"]);
        for sent in here["sent"].as_array().into_iter().flatten() {
            println!("task {} on {} since {} ms", sent[0], sent[1], sent[2]);
        }
        if !here["refusal"].is_null() {
            println!("refused: {}", here["refusal"]["reason"]);
        }
        Ok(SUCCESS)
    }
}

//! Jobs: submit, wait, cancel, tickets.

use std::io::Write as _;
use std::time::Instant;

use callers::render::{AnswerBody, ErrorBody, TicketsBody};
use dispatch::answer::Verdict;
use dispatch::jobs::JobRequest;
use httpedge::client::{CallError, RawRequest};

use crate::cli::{SubmitArgs, TicketArgs, TicketsArgs};
use crate::error::CtlError;
use crate::exit_codes;
use crate::output;
use crate::run::Tool;

/// How long one call waits, so that progress shows in between.
const STEP_MS: u64 = 500;
const CALL_MARGIN_MS: u64 = 15_000;

impl Tool {
    /// Submits a job and waits for its answer.
    ///
    /// # Errors
    /// Fails where the file is no job or the daemon cannot be asked.
    pub async fn submit(&self, args: &SubmitArgs) -> Result<u8, CtlError> {
        let body = read_job(&args.file)?;
        // A ticket of our own makes a repetition after a lost answer safe.
        let ticket = match &args.ticket {
            Some(ticket) => ticket.clone(),
            None => self.draw(1).await?.tickets.into_iter().next().unwrap_or_default(),
        };
        let headers = [("ticket", ticket.clone())];
        let path = format!("/v1/jobs?wait_ms={STEP_MS}&next_tickets=0");
        let mut answer = self.call("POST", &path, &headers, body).await?;
        let began = Instant::now();
        while answer.verdict == Verdict::Running {
            let waited_ms = began.elapsed().as_millis() as u64;
            if waited_ms > args.wait_ms {
                break;
            }
            if !self.json {
                eprint!("\rrunning, {:.1} s ", waited_ms as f64 / 1_000.0);
                let _ = std::io::stderr().flush();
            }
            let path = format!("/v1/jobs/{ticket}?wait_ms={STEP_MS}");
            answer = self.call("GET", &path, &[], Vec::new()).await?;
        }
        if !self.json && began.elapsed().as_millis() as u64 > STEP_MS {
            eprintln!();
        }
        output::answer(&answer, self.json);
        Ok(exit_codes::of_answer(&answer))
    }

    /// Tells how a job stands.
    ///
    /// # Errors
    /// Fails where the daemon cannot be asked.
    pub async fn status(&self, args: &TicketArgs) -> Result<u8, CtlError> {
        self.by_ticket("GET", args).await
    }

    /// Cancels a job.
    ///
    /// # Errors
    /// Fails where the daemon cannot be asked.
    pub async fn cancel(&self, args: &TicketArgs) -> Result<u8, CtlError> {
        self.by_ticket("DELETE", args).await
    }

    /// Draws tickets and prints them.
    ///
    /// # Errors
    /// Fails where the daemon cannot be asked.
    pub async fn tickets(&self, args: &TicketsArgs) -> Result<u8, CtlError> {
        let body = self.draw(args.count).await?;
        if self.json {
            output::json(&body);
        } else {
            for ticket in body.tickets {
                println!("{ticket}");
            }
        }
        Ok(exit_codes::SUCCESS)
    }

    async fn by_ticket(&self, method: &str, args: &TicketArgs) -> Result<u8, CtlError> {
        let path = format!("/v1/jobs/{}", args.ticket);
        let answer = self.call(method, &path, &[], Vec::new()).await?;
        output::answer(&answer, self.json);
        Ok(exit_codes::of_answer(&answer))
    }

    async fn draw(&self, count: usize) -> Result<TicketsBody, CtlError> {
        let path = format!("/v1/tickets?count={count}");
        Ok(self.caller.get(self.entry, &path, CALL_MARGIN_MS).await?)
    }

    async fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&'static str, String)],
        body: Vec<u8>,
    ) -> Result<AnswerBody, CtlError> {
        let timeout_ms = STEP_MS + CALL_MARGIN_MS;
        let call = RawRequest { addr: self.entry, method, path, headers, body, timeout_ms };
        let (status, body) = self.caller.send_raw(call).await?;
        if let Ok(answer) = serde_json::from_slice(&body) {
            return Ok(answer);
        }
        match serde_json::from_slice::<ErrorBody>(&body) {
            Ok(error) => Err(CtlError::Refused { status, why: error.error }),
            Err(_) => Err(CallError::Unreadable(self.entry).into()),
        }
    }
}

fn read_job(file: &str) -> Result<Vec<u8>, CtlError> {
    let wrong = |why: String| CtlError::File { file: file.to_owned(), why };
    let text = std::fs::read_to_string(file).map_err(|error| wrong(error.to_string()))?;
    let job: JobRequest = serde_json::from_str(&text).map_err(|error| {
        wrong(format!("no job: {error}; write {{\"kind\": ..., \"tasks\": [...]}}"))
    })?;
    serde_json::to_vec(&job).map_err(|error| wrong(error.to_string()))
}

//! Commands on jobs and tickets: submit, status, cancel, tickets.

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
use crate::run::CommandContext;

/// Time that the daemon may hold one call open while the job runs, in milliseconds; short, so that
/// progress can be printed between calls.
const POLL_WAIT_MS: u64 = 500;
/// Time allowed for a reply beyond the wait that the call requests, in milliseconds.
const REPLY_TIMEOUT_MS: u64 = 15_000;

impl CommandContext {
    /// Submits a job and polls until its answer is final or `--wait-ms` has passed.
    ///
    /// # Errors
    /// Returns an error if the file is not a valid job or a call to the daemon fails.
    pub async fn submit(&self, args: &SubmitArgs) -> Result<u8, CtlError> {
        let body = read_job(&args.file)?;
        // The job is always submitted under a ticket that is known beforehand, so that submitting
        // it again after a lost reply is safe.
        let ticket = match &args.ticket {
            Some(ticket) => ticket.clone(),
            None => self.issue_tickets(1).await?.tickets.into_iter().next().unwrap_or_default(),
        };
        let headers = [("ticket", ticket.clone())];
        let path = format!("/v1/jobs?wait_ms={POLL_WAIT_MS}&next_tickets=0");
        let mut answer = self.send_job_request("POST", &path, &headers, body).await?;
        let started_at = Instant::now();
        while answer.verdict == Verdict::Running {
            let waited_ms = started_at.elapsed().as_millis() as u64;
            if waited_ms > args.wait_ms {
                break;
            }
            if !self.json {
                eprint!("\rrunning, {:.1} s ", waited_ms as f64 / 1_000.0);
                let _ = std::io::stderr().flush();
            }
            let path = format!("/v1/jobs/{ticket}?wait_ms={POLL_WAIT_MS}");
            answer = self.send_job_request("GET", &path, &[], Vec::new()).await?;
        }
        if !self.json && started_at.elapsed().as_millis() as u64 > POLL_WAIT_MS {
            eprintln!();
        }
        output::print_answer(&answer, self.json);
        Ok(exit_codes::for_answer(&answer))
    }

    /// Prints the current answer for a job.
    ///
    /// # Errors
    /// Returns an error if the call to the daemon fails.
    pub async fn status(&self, args: &TicketArgs) -> Result<u8, CtlError> {
        self.request_by_ticket("GET", args).await
    }

    /// Cancels a job and prints its answer.
    ///
    /// # Errors
    /// Returns an error if the call to the daemon fails.
    pub async fn cancel(&self, args: &TicketArgs) -> Result<u8, CtlError> {
        self.request_by_ticket("DELETE", args).await
    }

    /// Requests new tickets and prints them.
    ///
    /// # Errors
    /// Returns an error if the call to the daemon fails.
    pub async fn tickets(&self, args: &TicketsArgs) -> Result<u8, CtlError> {
        let body = self.issue_tickets(args.count).await?;
        if self.json {
            output::print_json(&body);
        } else {
            for ticket in body.tickets {
                println!("{ticket}");
            }
        }
        Ok(exit_codes::SUCCESS)
    }

    async fn request_by_ticket(&self, method: &str, args: &TicketArgs) -> Result<u8, CtlError> {
        let path = format!("/v1/jobs/{}", args.ticket);
        let answer = self.send_job_request(method, &path, &[], Vec::new()).await?;
        output::print_answer(&answer, self.json);
        Ok(exit_codes::for_answer(&answer))
    }

    async fn issue_tickets(&self, count: usize) -> Result<TicketsBody, CtlError> {
        let path = format!("/v1/tickets?count={count}");
        Ok(self.client.get(self.entry_addr, &path, REPLY_TIMEOUT_MS).await?)
    }

    async fn send_job_request(
        &self,
        method: &str,
        path: &str,
        headers: &[(&'static str, String)],
        body: Vec<u8>,
    ) -> Result<AnswerBody, CtlError> {
        let timeout_ms = POLL_WAIT_MS + REPLY_TIMEOUT_MS;
        let call = RawRequest { addr: self.entry_addr, method, path, headers, body, timeout_ms };
        let (status, body) = self.client.send_raw(call).await?;
        if let Ok(answer) = serde_json::from_slice(&body) {
            return Ok(answer);
        }
        match serde_json::from_slice::<ErrorBody>(&body) {
            Ok(error) => Err(CtlError::Refused { status, why: error.error }),
            Err(_) => Err(CallError::Unreadable(self.entry_addr).into()),
        }
    }
}

fn read_job(file: &str) -> Result<Vec<u8>, CtlError> {
    let file_error = |why: String| CtlError::File { file: file.to_owned(), why };
    let text = std::fs::read_to_string(file).map_err(|error| file_error(error.to_string()))?;
    let job: JobRequest = serde_json::from_str(&text).map_err(|error| {
        file_error(format!(
            "not a valid job: {error}; expected {{\"kind\": ..., \"tasks\": [...]}}"
        ))
    })?;
    serde_json::to_vec(&job).map_err(|error| file_error(error.to_string()))
}

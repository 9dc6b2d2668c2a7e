//! Parses HTTP requests of operators.

use actix_http::Method;
use dispatch::catalogue::Edit;
use httpedge::server::Request;

use crate::wire::FaultRequest;

/// A parsed request of an operator.
#[derive(Clone, Debug)]
pub enum OperatorRequest {
    /// Get the state dump of this daemon.
    State,
    /// Get the Prometheus metrics.
    Metrics,
    /// Get what this daemon knows about a ticket and its job.
    Explain {
        /// Text of the ticket.
        ticket: String,
    },
    /// Get the catalogue.
    Catalogue,
    /// Get the most recent catalogue edits.
    History,
    /// Get the daemons known to this daemon, with their state and catalogue offset.
    Fleet,
    /// Append an edit to the catalogue.
    Edit(Edit),
    /// Get the outcome of an earlier edit.
    Outcome {
        /// ID of the edit, chosen by its author.
        id: String,
    },
    /// Replace the injected faults of a failure test.
    Faults(FaultRequest),
}

/// Error that rejects an operator's request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum RequestError {
    /// No endpoint matches the method and the path.
    #[error("no such call; see docs/OPERATIONS.md")]
    UnknownEndpoint,
    /// The body is too large or not the expected JSON; holds the details.
    #[error("the body cannot be read ({0}); send it with clementinectl")]
    Body(String),
}

impl RequestError {
    /// Returns the HTTP status code of the error response.
    pub const fn status(&self) -> u16 {
        match self {
            Self::UnknownEndpoint => 404,
            Self::Body(_) => 400,
        }
    }
}

/// Parses a request.
///
/// # Errors
/// Fails if no endpoint matches or the body is invalid.
pub fn parse(request: &Request) -> Result<OperatorRequest, RequestError> {
    let segments = request.segments();
    match (&request.method, segments.as_slice()) {
        (&Method::GET, ["v1", "state"]) => Ok(OperatorRequest::State),
        (&Method::GET, ["metrics"]) => Ok(OperatorRequest::Metrics),
        (&Method::GET, ["v1", "explain", ticket]) => {
            Ok(OperatorRequest::Explain { ticket: (*ticket).to_owned() })
        }
        (&Method::GET, ["v1", "catalogue"]) => Ok(OperatorRequest::Catalogue),
        (&Method::GET, ["v1", "catalogue", "history"]) => Ok(OperatorRequest::History),
        (&Method::GET, ["v1", "fleet"]) => Ok(OperatorRequest::Fleet),
        (&Method::GET, ["v1", "catalogue", "edits", id]) => {
            Ok(OperatorRequest::Outcome { id: (*id).to_owned() })
        }
        (&Method::POST, ["v1", "catalogue", "edits"]) => {
            parse_body(request).map(OperatorRequest::Edit)
        }
        (&Method::POST, ["v1", "faults"]) => parse_body(request).map(OperatorRequest::Faults),
        _ => Err(RequestError::UnknownEndpoint),
    }
}

fn parse_body<T: serde::de::DeserializeOwned>(request: &Request) -> Result<T, RequestError> {
    let body = request.body.as_ref().ok_or_else(|| RequestError::Body("too large".into()))?;
    serde_json::from_slice(body).map_err(|error| RequestError::Body(error.to_string()))
}

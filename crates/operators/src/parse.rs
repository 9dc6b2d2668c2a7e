//! Turns operators' HTTP requests into calls.

use actix_http::Method;
use dispatch::catalogue::Edit;
use httpedge::server::Request;

use crate::wire::FaultCall;

/// One call of an operator.
#[derive(Clone, Debug)]
pub enum Call {
    /// The whole state of this daemon.
    State,
    /// Metrics for `prometheus`.
    Metrics,
    /// What is known of a ticket.
    Explain {
        /// The ticket.
        ticket: String,
    },
    /// The catalogue.
    Catalogue,
    /// The catalogue's history.
    History,
    /// Which daemon has which offset.
    Fleet,
    /// Append an edit.
    Edit(Edit),
    /// What became of an edit.
    Outcome {
        /// The edit's identity.
        id: String,
    },
    /// Switch faults for a failure test.
    Faults(FaultCall),
}

/// Why a call cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum CallProblem {
    /// The path or the method is not known.
    #[error("no such call; see docs/OPERATIONS.md")]
    NoSuchCall,
    /// The body cannot be read.
    #[error("the body cannot be read ({0}); send it with clementinectl")]
    Body(String),
}

impl CallProblem {
    /// Gives the HTTP status that fits.
    pub const fn status(&self) -> u16 {
        match self {
            Self::NoSuchCall => 404,
            Self::Body(_) => 400,
        }
    }
}

/// Reads a call.
///
/// # Errors
/// Fails with what the operator should change.
pub fn parse(request: &Request) -> Result<Call, CallProblem> {
    let segments = request.segments();
    match (&request.method, segments.as_slice()) {
        (&Method::GET, ["v1", "state"]) => Ok(Call::State),
        (&Method::GET, ["metrics"]) => Ok(Call::Metrics),
        (&Method::GET, ["v1", "explain", ticket]) => {
            Ok(Call::Explain { ticket: (*ticket).to_owned() })
        }
        (&Method::GET, ["v1", "catalogue"]) => Ok(Call::Catalogue),
        (&Method::GET, ["v1", "catalogue", "history"]) => Ok(Call::History),
        (&Method::GET, ["v1", "fleet"]) => Ok(Call::Fleet),
        (&Method::GET, ["v1", "catalogue", "edits", id]) => {
            Ok(Call::Outcome { id: (*id).to_owned() })
        }
        (&Method::POST, ["v1", "catalogue", "edits"]) => body_of(request).map(Call::Edit),
        (&Method::POST, ["v1", "faults"]) => body_of(request).map(Call::Faults),
        _ => Err(CallProblem::NoSuchCall),
    }
}

fn body_of<T: serde::de::DeserializeOwned>(request: &Request) -> Result<T, CallProblem> {
    let body = request.body.as_ref().ok_or_else(|| CallProblem::Body("too large".into()))?;
    serde_json::from_slice(body).map_err(|error| CallProblem::Body(error.to_string()))
}

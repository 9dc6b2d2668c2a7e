//! Messages and connections between daemons: `postcard` over TCP and UDP.
//!
//! Every message carries an authentication tag under the fleet's keys; see `docs/design/membership.md`.

pub mod heartbeats;
pub mod io;
pub mod links;
pub mod wire;

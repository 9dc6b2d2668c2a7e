//! Messages and links between daemons: `postcard` over TCP and UDP.
//!
//! Every message carries a tag under the fleet's keys; see `docs/design/membership.md`.

pub mod beats;
pub mod links;
pub mod wire;

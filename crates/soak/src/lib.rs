//! A soak: real daemons as processes, faults from outside, and checks of what callers and workers
//! see. See `docs/design/soak.md`.

pub mod cli;
pub mod faults;
pub mod play;
pub mod proxy;
pub mod site;

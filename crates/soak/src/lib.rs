//! Soak test with fault injection. Real daemons run as processes, faults are injected into
//! processes and connections, and checks cover what callers and workers observe. See
//! `docs/design/soak.md`.

pub mod cli;
pub mod cluster;
pub mod evacuations;
pub mod faults;
pub mod proxy;
pub mod rig;
pub mod runner;

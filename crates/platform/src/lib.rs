//! HTTP clients of the platform's services: the log service and the VM list.

pub mod client;
pub mod wire;

//! The client side of the platform: the log service and the VM list.

pub mod client;
pub mod wire;

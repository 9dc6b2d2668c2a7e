//! Follows the VM list.

use std::rc::Rc;
use std::time::Duration;

use dispatch::engine::Event;
use platform::client::{entries_of, workers_of};

use crate::daemon::Daemon;

impl Daemon {
    /// Follows the VM list until the process ends.
    pub async fn follow_vms(self: Rc<Self>) {
        let mut version = 0;
        loop {
            self.platform_messages.set(self.platform_messages.get() + 2);
            match self.vms.list(version).await {
                Ok(list) => {
                    version = list.version;
                    if let Some(vms) = list.vms {
                        log::info!("vms: List {version} has {} VMs.", vms.len());
                        self.membership.borrow_mut().set_listed(&entries_of(&vms));
                        self.drive(Event::Workers(workers_of(&vms)));
                    }
                }
                Err(error) => log::debug!("vms: {error}."),
            }
            actix_rt::time::sleep(Duration::from_millis(self.config.vm_poll_ms)).await;
        }
    }
}

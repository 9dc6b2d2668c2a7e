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
            self.greet_workers();
            actix_rt::time::sleep(Duration::from_millis(self.config.vm_poll_ms)).await;
        }
    }

    /// Asks workers that are not known yet for the number of their process.
    fn greet_workers(self: &Rc<Self>) {
        for worker in self.engine.borrow().unidentified_workers() {
            let daemon = Rc::clone(self);
            daemon.worker_messages.set(daemon.worker_messages.get() + 2);
            actix_rt::spawn(async move {
                match daemon.workers.boot_id(worker).await {
                    Ok(boot) => daemon.drive(Event::BootId { worker, boot }),
                    Err(error) => log::debug!("vms: {error}."),
                }
            });
        }
    }
}

//! Polls the VM list and passes its changes to the membership and the engine.

use std::rc::Rc;
use std::time::Duration;

use dispatch::engine::Event;
use platform::client::{entry_vm_addrs, worker_infos};

use crate::daemon::Daemon;

impl Daemon {
    /// Polls the VM list until the process exits.
    pub async fn poll_vm_list(self: Rc<Self>) {
        let mut version = 0;
        loop {
            self.platform_messages.set(self.platform_messages.get() + 2);
            match self.vms.list(version).await {
                Ok(list) => {
                    version = list.version;
                    if let Some(vms) = list.vms {
                        log::info!("vms: VM list version {version} contains {} VMs", vms.len());
                        self.membership.borrow_mut().set_listed(&entry_vm_addrs(&vms));
                        self.process_event(Event::Workers(worker_infos(&vms)));
                    }
                }
                Err(error) => log::debug!("vms: cannot poll the VM list: {error}"),
            }
            self.request_boot_ids();
            actix_rt::time::sleep(Duration::from_millis(self.config.vm_poll_ms)).await;
        }
    }

    /// Requests the boot ID of every worker whose boot ID is not known yet.
    fn request_boot_ids(self: &Rc<Self>) {
        for worker in self.engine.borrow().unidentified_workers() {
            let daemon = Rc::clone(self);
            daemon.worker_messages.set(daemon.worker_messages.get() + 2);
            actix_rt::spawn(async move {
                match daemon.workers.boot_id(worker).await {
                    Ok(boot) => daemon.process_event(Event::BootId { worker, boot }),
                    Err(error) => log::debug!("vms: cannot read the boot ID of a worker: {error}"),
                }
            });
        }
    }
}

//! Test double of the platform's VM list, whose updates become visible after a configurable delay.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_rt::net::TcpListener;
use httpedge::server::{Limits, Request, Response, serve};
use platform::wire::{Vm, VmList};
use serde::{Deserialize, Serialize};

use crate::worker::with_body;

const MAX_BODY_BYTES: usize = 16 << 20;

/// Replacement of the whole list, sent by `POST /vms`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct PutList {
    /// All VMs of the new list.
    pub vms: Vec<Vm>,
    /// Delay until the new list becomes visible, in milliseconds.
    #[serde(default)]
    pub lag_ms: u64,
}

/// Version and VMs of the current list.
type Shared = Rc<RefCell<(u64, Vec<Vm>)>>;

/// Serves a VM list on `listener`, with `vms` as its first version, until the returned future is
/// dropped.
pub async fn serve_vms(listener: TcpListener, vms: Vec<Vm>) {
    let list: Shared = Rc::new(RefCell::new((1, vms)));
    serve(listener, Limits::with_max_body(MAX_BODY_BYTES), move |request| {
        route(Rc::clone(&list), request)
    })
    .await;
}

async fn route(list: Shared, request: Request) -> Response {
    let segments = request.segments();
    let body = request.body.clone().unwrap_or_default();
    match (&request.method, segments.as_slice()) {
        (&Method::GET, ["vms"]) => {
            let known = request.param("version").and_then(|text| text.parse().ok()).unwrap_or(0);
            let (version, vms) = list.borrow().clone();
            let vms = (version != known).then_some(vms);
            Response::json(200, &VmList { version, vms })
        }
        (&Method::POST, ["vms"]) => {
            with_body(&body, |put| async move { replace_list(&list, put) }).await
        }
        _ => Response::text(404, "no such call; GET and POST /vms"),
    }
}

fn replace_list(list: &Shared, put: PutList) -> Response {
    let list = Rc::clone(list);
    let count = put.vms.len();
    actix_rt::spawn(async move {
        actix_rt::time::sleep(Duration::from_millis(put.lag_ms)).await;
        let mut list = list.borrow_mut();
        list.0 += 1;
        list.1 = put.vms;
    });
    Response::json(200, &upstreams::wire::OrderReply { count })
}

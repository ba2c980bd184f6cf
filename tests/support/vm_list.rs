//! Stand-in for the platform's VM list. Each process reads its own view, so that proxies can stand
//! between any two.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use alderbay::{
    core::VmRecord,
    http::{json_response, text_response},
    units::VmId,
};
use http::{
    HeaderValue, StatusCode,
    header::{ETAG, IF_NONE_MATCH},
};
use volo_http::{
    request::Request,
    response::Response,
    server::{Router, route::get},
};
use xxhash_rust::xxh3::xxh3_64;

use super::stand_in::StandIn;

#[derive(Default)]
pub struct FakeVmList {
    pub vms: Mutex<Vec<VmRecord>>,
    /// Address of a VM as one viewer is told it.
    pub views: Mutex<HashMap<(VmId, VmId), SocketAddr>>,
}

impl FakeVmList {
    pub async fn serve(self: Arc<Self>, address: SocketAddr, viewer: VmId) -> StandIn {
        let list = move |request: Request| {
            let (vms, viewer) = (self.clone(), viewer.clone());
            async move { vms.answer(&viewer, &request) }
        };
        StandIn::start(address, Router::new().route("/v1/vms", get(list))).await
    }

    fn answer(&self, viewer: &VmId, request: &Request) -> Response {
        let list = self.seen_by(viewer);
        let text = serde_json::to_vec(&list).unwrap();
        let tag: HeaderValue = format!("\"{:x}\"", xxh3_64(&text)).parse().unwrap();
        if request.headers().get(IF_NONE_MATCH) == Some(&tag) {
            return text_response(StatusCode::NOT_MODIFIED, "");
        }
        let mut answer = json_response(StatusCode::OK, &list);
        answer.headers_mut().insert(ETAG, tag);
        answer
    }

    fn seen_by(&self, viewer: &VmId) -> Vec<VmRecord> {
        let views = self.views.lock().unwrap();
        let mut vms = self.vms.lock().unwrap().clone();
        for record in &mut vms {
            if let Some(address) = views.get(&(viewer.clone(), record.vm.clone())) {
                record.address = *address;
            }
        }
        vms
    }
}

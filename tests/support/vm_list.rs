//! Fake of the platform's VM list. Each process reads its own view of the list, so that a test can
//! put a proxy between any two processes.

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

use super::fake_server::FakeServer;

/// The list, served to each viewer with its own addresses.
#[derive(Default)]
pub struct FakeVmList {
    pub vms: Mutex<Vec<VmRecord>>,
    /// Address that replaces a VM's own in one viewer's list, by viewer and VM.
    pub views: Mutex<HashMap<(VmId, VmId), SocketAddr>>,
}

impl FakeVmList {
    /// Serves the list of one viewer.
    pub async fn serve(self: Arc<Self>, address: SocketAddr, viewer: VmId) -> FakeServer {
        let handler = move |request: Request| {
            let (vms, viewer) = (self.clone(), viewer.clone());
            async move { vms.answer(&viewer, &request) }
        };
        FakeServer::start(address, Router::new().route("/v1/vms", get(handler))).await
    }

    fn answer(&self, viewer: &VmId, request: &Request) -> Response {
        let list = self.list_for(viewer);
        let text = serde_json::to_vec(&list).unwrap();
        let tag: HeaderValue = format!("\"{:x}\"", xxh3_64(&text)).parse().unwrap();
        if request.headers().get(IF_NONE_MATCH) == Some(&tag) {
            return text_response(StatusCode::NOT_MODIFIED, "");
        }
        let mut answer = json_response(StatusCode::OK, &list);
        answer.headers_mut().insert(ETAG, tag);
        answer
    }

    fn list_for(&self, viewer: &VmId) -> Vec<VmRecord> {
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

//! Stand-in for the platform's VM list. Each process reads its own view, so that proxies can stand
//! between any two.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use alderbay::{core::VmRecord, http::json_answer, units::VmId};
use http::StatusCode;
use volo_http::server::{Router, route::get};

use super::stand_in::StandIn;

#[derive(Default)]
pub struct FakeVmList {
    pub vms: Mutex<Vec<VmRecord>>,
    /// Address of a VM as one viewer is told it.
    pub views: Mutex<HashMap<(VmId, VmId), SocketAddr>>,
}

impl FakeVmList {
    pub async fn serve(self: Arc<Self>, address: SocketAddr, viewer: VmId) -> StandIn {
        let list = move || {
            let (vms, viewer) = (self.clone(), viewer.clone());
            async move { json_answer(StatusCode::OK, &vms.seen_by(&viewer)) }
        };
        StandIn::start(address, Router::new().route("/v1/vms", get(list))).await
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

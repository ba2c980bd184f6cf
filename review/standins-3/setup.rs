//! A small deployment: three zones with a gateway each, two groups of two model servers with their
//! agents, and a plain service.

use std::{
    error::Error,
    fs,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
};

use crate::{
    fleet::{start_agent, start_gateway, wait_ready, Daemon, Ports, Record},
    server::{Place, Server, World},
    store::Store,
};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "Token n2ctnfzs989anu6wsjnb";
pub const MODEL: &str = "drafting-llm";
pub const LEDGER: &str = "ledger-app";
/// A second plain service, to which no route leads at first.
pub const LEDGER_TWO: &str = "ledger-app-two";
const ZONES: [&str; 3] = ["south-a", "south-b", "south-c"];

pub struct Deployment {
    pub world: World,
    pub record: Record,
    pub ports: Ports,
    pub gateways: Vec<Daemon>,
    pub model_servers: Vec<Server>,
    _agents: Vec<Daemon>,
    _ledger_servers: Vec<Server>,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn ip(last: [u8; 2]) -> IpAddr {
    IpAddr::from([127, 31, last[0], last[1]])
}

impl Deployment {
    /// Starts the deployment with this many plain servers in each zone, and waits until all
    /// gateways are ready.
    pub fn start(
        root: &Path,
        case_folder: &Path,
        harmful: Option<&str>,
        ledger_per_zone: u8,
    ) -> Result<Self, Box<dyn Error>> {
        let record = Record::create(&case_folder.join("record.txt"))?;
        let folder = std::env::temp_dir().join(format!("review3-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let gateway_ips: Vec<IpAddr> = (1..=3).map(|zone| ip([zone, 1])).collect();
        let rank_ip = |zone: u8, rank: u8| ip([zone, 11 + rank]);
        let mut ips = gateway_ips.clone();
        for zone in 1..=3 {
            ips.extend((0..2).map(|rank| rank_ip(zone, rank)));
            ips.extend((0..ledger_per_zone).flat_map(|n| [ip([zone, 21 + n]), ip([zone, 41 + n])]));
        }
        let store_ip = ip([9, 1]);
        ips.push(store_ip);
        let ports = Ports::choose(&ips)?;
        let store_address = SocketAddr::new(store_ip, ports.app);
        let store = Store::start(store_address)?;
        store.put("keyed.op", "config", Some(manifest(7, LEDGER)));
        let world = World::new(record.clone(), store, harmful.map(str::to_owned));
        let mut model_servers = Vec::new();
        let mut agents = Vec::new();
        let paths = (root, folder.as_path());
        for (zone, group) in [(1, "g1"), (2, "g2")] {
            for rank in 0..2 {
                let (ip, name) = (rank_ip(zone, rank), ZONES[usize::from(zone) - 1]);
                let place = Place {
                    service: MODEL,
                    address: SocketAddr::new(ip, ports.app),
                    zone: name,
                    slots: 12,
                    group: Some((group, u16::from(rank), 2)),
                };
                model_servers.push(Server::start(&world, place)?);
                agents.push(start_agent(paths, (ip, name), &ports, MODEL)?);
            }
        }
        let mut ledger_servers = Vec::new();
        for (service, first_ip) in [(LEDGER, 21), (LEDGER_TWO, 41)] {
            for zone in 1..=3 {
                for n in 0..ledger_per_zone {
                    let place = Place {
                        service,
                        address: SocketAddr::new(ip([zone, first_ip + n]), ports.app),
                        zone: ZONES[usize::from(zone) - 1],
                        slots: 6,
                        group: None,
                    };
                    ledger_servers.push(Server::start(&world, place)?);
                }
            }
        }
        let mut gateways = Vec::new();
        for (ip, zone) in gateway_ips.iter().zip(ZONES) {
            gateways.push(start_gateway(paths, (*ip, zone), &ports, &gateway_ips, store_address)?);
        }
        let deployment = Self {
            world,
            record,
            ports,
            gateways,
            model_servers,
            _agents: agents,
            _ledger_servers: ledger_servers,
            folder,
        };
        deployment.wait_ready()?;
        Ok(deployment)
    }

    pub fn wait_ready(&self) -> Result<(), Box<dyn Error>> {
        for gateway in &self.gateways {
            if !wait_ready(gateway, &self.ports) {
                return Err("a gateway is not ready".into());
            }
        }
        self.record.line("all gateways are ready");
        Ok(())
    }

    /// Address at which clients reach a gateway.
    pub fn front(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.gateways[index % self.gateways.len()].ip, self.ports.front)
    }

    pub fn check_alive(&mut self) -> Result<(), Box<dyn Error>> {
        if self.gateways.iter_mut().any(Daemon::has_exited) {
            return Err("a gateway has exited by itself".into());
        }
        Ok(())
    }
}

/// A manifest in which this service answers reads of balances.
pub fn manifest(version: u32, balances: &str) -> String {
    let route = |name: &str, path: &str, kind: &str, timeout: u32, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"path-prefix\":\"{path}\",\"kind\":\"{kind}\",\
             \"timeout-ms\":{timeout},\"target-latency-ms\":400,\"priority\":1,\"service\":\"{service}\",\
             \"max-attempts\":2,\"public\":false}}"
        )
    };
    let routes = [
        route("r-orders", "/orders/", "unsafe", 8000, MODEL),
        route("r-balances", "/balances/", "safe", 1000, balances),
        route("r-mandates", "/mandates/", "unsafe", 1000, LEDGER),
    ];
    let engine = "\"engine\":{\"slots\":12,\"kv-capacity-tokens\":494000,\"link-mbps\":92000.0,\"stride\":6,\
                  \"models\":[{\"name\":\"m\"}],\"step_ms\":4.84,\"per_seq_ms\":0.362,\"report_lag_ms\":200.0}";
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"{MODEL}\",\"health-check-path\":\"/healthz\",\"max-connections\":418,\"warmup-s\":0.0,\
         \"warmup-per-s\":0.0,{engine}}},\
         {{\"name\":\"{LEDGER}\",\"health-check-path\":\"/healthz\",\"max-connections\":110,\"warmup-s\":0.0,\
         \"warmup-per-s\":0.0}},\
         {{\"name\":\"{LEDGER_TWO}\",\"health-check-path\":\"/healthz\",\"max-connections\":110,\"warmup-s\":0.0,\
         \"warmup-per-s\":0.0}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api-keys\":[\"n2ctnfzs989anu6wsjnb\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

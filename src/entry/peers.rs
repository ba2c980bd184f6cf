//! Connections to agents: one for each agent wanted, made again whenever it is lost.

use std::{
    collections::HashMap,
    net::SocketAddr,
    ops::Range,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use quinn::Connection;
use rand::Rng;
use thiserror::Error;
use tokio::{sync::mpsc, task::JoinHandle};

use crate::{
    core::Event,
    daemon::{ControlError, PeerCommand, ProcessShell, exchange_hellos, run_control},
    transport::{PeerEndpoint, TransportError},
    units::VmId,
    wire::PeerRole,
};

/// Pause before a connection is tried again, drawn at random.
const RETRY_PAUSE: Range<Duration> = Duration::from_millis(100)..Duration::from_millis(700);

/// Why a connection to an agent ended.
#[derive(Debug)]
#[derive(Error)]
enum LinkError {
    #[error(transparent)]
    Transport(#[from] TransportError),
    #[error(transparent)]
    Connection(#[from] quinn::ConnectionError),
    #[error(transparent)]
    Control(#[from] ControlError),
    #[error("the address belongs to {found} now")]
    OtherVm { found: VmId },
}

/// Connections that stand, by VM.
#[derive(Debug, Default)]
pub struct PeerLinks {
    links: Mutex<HashMap<VmId, Connection>>,
}

impl PeerLinks {
    /// The connection to an agent, where one stands.
    pub fn get(&self, vm: &VmId) -> Option<Connection> {
        self.lock().get(vm).cloned()
    }

    fn insert(&self, vm: VmId, link: Connection) {
        self.lock().insert(vm, link);
    }

    fn remove(&self, vm: &VmId) {
        self.lock().remove(vm);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<VmId, Connection>> {
        // Each update is one call on the map, so a panic elsewhere leaves it whole.
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Carries out commands for connections, for ever.
pub(super) async fn run(
    shell: Arc<ProcessShell>,
    endpoint: PeerEndpoint,
    links: Arc<PeerLinks>,
    mut commands: mpsc::UnboundedReceiver<PeerCommand>,
) {
    let mut tasks: HashMap<VmId, JoinHandle<()>> = HashMap::new();
    while let Some(command) = commands.recv().await {
        match command {
            PeerCommand::Connect { vm, address } => {
                let link =
                    keep_link(shell.clone(), endpoint.clone(), links.clone(), vm.clone(), address);
                let old = tasks.insert(vm, tokio::spawn(link));
                old.inspect(JoinHandle::abort);
            }
            PeerCommand::Disconnect(vm) => {
                tasks.remove(&vm).inspect(JoinHandle::abort);
                links.remove(&vm);
                shell.dispatch(Event::PeerLost(vm));
            }
        }
    }
}

async fn keep_link(
    shell: Arc<ProcessShell>,
    endpoint: PeerEndpoint,
    links: Arc<PeerLinks>,
    vm: VmId,
    address: SocketAddr,
) {
    loop {
        let Err(error) = run_link(&shell, &endpoint, &links, &vm, address).await;
        links.remove(&vm);
        shell.dispatch(Event::PeerLost(vm.clone()));
        log::info!(peer:% = vm, error:% = error; "no connection to the agent");
        let pause = rand::rng().random_range(RETRY_PAUSE);
        tokio::time::sleep(pause).await;
    }
}

async fn run_link(
    shell: &Arc<ProcessShell>,
    endpoint: &PeerEndpoint,
    links: &PeerLinks,
    vm: &VmId,
    address: SocketAddr,
) -> Result<std::convert::Infallible, LinkError> {
    let link = endpoint.connect(address).await?;
    let (mut send, mut recv) = link.open_bi().await?;
    let hello = exchange_hellos(shell, &mut send, &mut recv, PeerRole::Agent).await?;
    if hello.vm != *vm {
        return Err(LinkError::OtherVm { found: hello.vm });
    }
    log::info!(peer:% = vm, incarnation:% = hello.incarnation; "connected to the agent");
    links.insert(vm.clone(), link);
    shell.dispatch(Event::PeerConnected(hello));
    match run_control(shell.clone(), vm.clone(), send, recv).await {
        Err(error) => Err(error.into()),
        Ok(never) => match never {},
    }
}

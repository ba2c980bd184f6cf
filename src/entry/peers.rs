//! Connections to agents: one for each agent that the reducer assigns, re-established when lost.

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
    daemon::{ControlError, PeerCommand, ProcessShell, exchange_hellos, run_control_stream},
    transport::{PeerEndpoint, TransportError},
    units::VmId,
    wire::PeerRole,
};

/// Range of the random delay before reconnecting.
const RECONNECT_DELAY: Range<Duration> = Duration::from_millis(100)..Duration::from_millis(700);

/// Why a connection to an agent ended.
#[derive(Debug)]
#[derive(Error)]
enum SessionError {
    #[error(transparent)]
    Transport(#[from] TransportError),
    #[error(transparent)]
    Connection(#[from] quinn::ConnectionError),
    #[error(transparent)]
    Control(#[from] ControlError),
    #[error("the address now belongs to {found}")]
    OtherVm { found: VmId },
}

/// Established connections to agents, by VM.
#[derive(Debug, Default)]
pub struct AgentConnections {
    connections: Mutex<HashMap<VmId, Connection>>,
}

impl AgentConnections {
    /// Returns the connection to an agent, or `None` while there is none.
    pub fn get(&self, vm: &VmId) -> Option<Connection> {
        self.lock().get(vm).cloned()
    }

    fn insert(&self, vm: VmId, connection: Connection) {
        self.lock().insert(vm, connection);
    }

    fn remove(&self, vm: &VmId) {
        self.lock().remove(vm);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<VmId, Connection>> {
        // Each update is a single map operation, so the map is consistent after a panic elsewhere.
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Opens and closes connections as commanded, until the command channel closes.
pub(super) async fn run(
    shell: Arc<ProcessShell>,
    endpoint: PeerEndpoint,
    connections: Arc<AgentConnections>,
    mut commands: mpsc::UnboundedReceiver<PeerCommand>,
) {
    let mut tasks: HashMap<VmId, JoinHandle<()>> = HashMap::new();
    while let Some(command) = commands.recv().await {
        match command {
            PeerCommand::Connect { vm, address } => {
                let session = keep_connected(
                    shell.clone(),
                    endpoint.clone(),
                    connections.clone(),
                    vm.clone(),
                    address,
                );
                let old_task = tasks.insert(vm, tokio::spawn(session));
                old_task.inspect(JoinHandle::abort);
            }
            PeerCommand::Disconnect(vm) => {
                tasks.remove(&vm).inspect(JoinHandle::abort);
                connections.remove(&vm);
                shell.dispatch(Event::PeerLost(vm));
            }
        }
    }
}

/// Keeps one agent connected: runs sessions in a loop, with a delay after each one that ends.
async fn keep_connected(
    shell: Arc<ProcessShell>,
    endpoint: PeerEndpoint,
    connections: Arc<AgentConnections>,
    vm: VmId,
    address: SocketAddr,
) {
    loop {
        let Err(error) = run_session(&shell, &endpoint, &connections, &vm, address).await;
        connections.remove(&vm);
        shell.dispatch(Event::PeerLost(vm.clone()));
        log::info!(peer:% = vm, error:% = error; "connection to the agent failed");
        let delay = rand::rng().random_range(RECONNECT_DELAY);
        tokio::time::sleep(delay).await;
    }
}

/// Connects, checks that the peer is the expected agent, and serves the control stream until it
/// breaks.
async fn run_session(
    shell: &Arc<ProcessShell>,
    endpoint: &PeerEndpoint,
    connections: &AgentConnections,
    vm: &VmId,
    address: SocketAddr,
) -> Result<std::convert::Infallible, SessionError> {
    let connection = endpoint.connect(address).await?;
    let (mut send, mut recv) = connection.open_bi().await?;
    let hello = exchange_hellos(shell, &mut send, &mut recv, PeerRole::Agent).await?;
    if hello.vm != *vm {
        return Err(SessionError::OtherVm { found: hello.vm });
    }
    log::info!(peer:% = vm, incarnation:% = hello.incarnation; "connected to the agent");
    connections.insert(vm.clone(), connection);
    shell.dispatch(Event::PeerConnected(hello));
    match run_control_stream(shell.clone(), vm.clone(), send, recv).await {
        Err(error) => Err(error.into()),
        Ok(never) => match never {},
    }
}

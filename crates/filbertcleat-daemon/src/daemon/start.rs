//! The start of a process.

use std::collections::HashMap;
use std::net::SocketAddr;

use filbertcleat_base::ConfigVersion;
use filbertcleat_base::MonoTime;
use filbertcleat_config::Settings;
use filbertcleat_wire::v1::agent_server::AgentServer;
use filbertcleat_wire::v1::node_server::NodeServer;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use super::Daemon;
use super::RoleLoop;
use crate::agent::AgentRole;
use crate::entry::CallerGate;
use crate::entry::EntryRole;
use crate::entry::NightDesk;
use crate::entry::serve_callers;
use crate::entry::serve_operators;
use crate::input::Inputs;
use crate::node::Node;
use crate::peers::Peers;
use crate::rpc::Check;
use crate::rpc::RpcService;
use crate::token::Token;
use crate::token::TokenError;

/// The addresses that a process listens on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Addresses {
    pub peers: SocketAddr,
    pub callers: Option<SocketAddr>,
    pub operators: Option<SocketAddr>,
}

impl Daemon {
    /// Binds all listeners and starts serving them; `run` has to follow.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let token =
            Token::load(&settings.peers.token).map_err(|error| StartError::token(&error))?;
        let (inputs, receiver) = mpsc::unbounded_channel();
        let peers = Peers::new(&token);
        let mut tasks = Vec::new();

        let listener = bind("peers.listen", settings.peers.listen).await?;
        let bound = address(&listener)?;
        // A port of 0 asks for any free one, which peers have to be told.
        let mut advertised = settings.peers.advertise.unwrap_or(bound);
        if advertised.port() == 0 {
            advertised.set_port(bound.port());
        }
        tasks.push(serve_peers(listener, inputs.clone(), &token, settings.backend.is_some()));

        let mut addresses = Addresses { peers: advertised, callers: None, operators: None };
        let node =
            Node::new(settings.clone(), advertised.to_string(), peers.clone(), inputs.clone());
        let role = match (&settings.callers, &settings.operators, &settings.backend) {
            (Some(callers), Some(operators), _) => {
                let listener = bind("callers.listen", callers.listen).await?;
                addresses.callers = Some(address(&listener)?);
                let gate = CallerGate::new(&node, callers);
                let serving = tokio::spawn(serve_callers(listener, callers.clone(), gate.clone()));
                tasks.push(serving.abort_handle());

                let desk =
                    NightDesk::new(gate.clone(), settings.async_requests.clone(), node.holder());
                tasks.push(tokio::spawn(desk.work()).abort_handle());

                let listener = bind("operators.listen", operators.listen).await?;
                addresses.operators = Some(address(&listener)?);
                let token =
                    Token::load(&operators.token).map_err(|error| StartError::token(&error))?;
                let serving = tokio::spawn(serve_operators(listener, inputs.clone(), peers, token));
                tasks.push(serving.abort_handle());
                RoleLoop::Entry(Box::new(EntryRole::new(&node, gate)))
            }
            (_, _, Some(backend)) => {
                RoleLoop::Agent(Box::new(AgentRole::new(&node, backend.clone())))
            }
            (_, _, None) => {
                let reason = "settings have neither callers and operators nor a backend".to_owned();
                return Err(StartError { what: "role".to_owned(), reason });
            }
        };

        Ok(Self {
            node,
            role,
            receiver,
            tasks,
            addresses,
            seen_version: ConfigVersion::default(),
            member_states: HashMap::new(),
            stopping: false,
            left_at: None,
            last_tick: MonoTime::ZERO,
        })
    }
}

/// A process that can't start.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{what}: {reason}")]
pub struct StartError {
    what: String,
    reason: String,
}

impl StartError {
    fn token(error: &TokenError) -> Self {
        Self { what: "token".to_owned(), reason: error.to_string() }
    }
}

fn serve_peers(
    listener: TcpListener,
    inputs: Inputs,
    token: &Token,
    is_agent: bool,
) -> tokio::task::AbortHandle {
    let service = RpcService { inputs };
    let check = Check { token: token.clone() };
    let node = NodeServer::with_interceptor(service.clone(), check.clone());
    let agent = is_agent.then(|| AgentServer::with_interceptor(service, check));
    let server = Server::builder().add_service(node).add_optional_service(agent);
    // Small pieces of an answer must not wait for each other.
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let serving = tokio::spawn(async move {
        if let Err(error) = server.serve_with_incoming(incoming).await {
            log::error!("event=peers-failed reason=\"{error}\"");
        }
    });
    serving.abort_handle()
}

async fn bind(path: &str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|error| StartError {
        what: format!("{path} {address}"),
        reason: error.to_string(),
    })
}

fn address(listener: &TcpListener) -> Result<SocketAddr, StartError> {
    listener
        .local_addr()
        .map_err(|error| StartError { what: "listener".to_owned(), reason: error.to_string() })
}

//! Start-up of a process.

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
use super::RoleState;
use crate::agent::AgentRole;
use crate::entry::AsyncRequestWorker;
use crate::entry::CallerContext;
use crate::entry::EntryRole;
use crate::entry::serve_callers;
use crate::entry::serve_operators;
use crate::loop_event::LoopSender;
use crate::node::Node;
use crate::peers::Peers;
use crate::rpc::RequireToken;
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
    /// Binds all listeners and serves them on tasks; their requests wait until `run` is called.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let token =
            Token::load(&settings.peers.token).map_err(|error| StartError::token(&error))?;
        let (loop_sender, events) = mpsc::unbounded_channel();
        let peers = Peers::new(&token);
        let mut tasks = Vec::new();

        let listener = bind("peers.listen", settings.peers.listen).await?;
        let bound = address(&listener)?;
        // Port 0 binds any free port, which peers need to know.
        let mut advertised = settings.peers.advertise.unwrap_or(bound);
        if advertised.port() == 0 {
            advertised.set_port(bound.port());
        }
        tasks.push(serve_peers(listener, loop_sender.clone(), &token, settings.backend.is_some()));

        let mut addresses = Addresses { peers: advertised, callers: None, operators: None };
        let node =
            Node::new(settings.clone(), advertised.to_string(), peers.clone(), loop_sender.clone());
        let role = match (&settings.callers, &settings.operators, &settings.backend) {
            (Some(callers), Some(operators), _) => {
                let listener = bind("callers.listen", callers.listen).await?;
                addresses.callers = Some(address(&listener)?);
                let context = CallerContext::new(&node, callers);
                let serving =
                    tokio::spawn(serve_callers(listener, callers.clone(), context.clone()));
                tasks.push(serving.abort_handle());

                let worker = AsyncRequestWorker::new(
                    context.clone(),
                    settings.async_requests.clone(),
                    node.holder_id(),
                );
                tasks.push(tokio::spawn(worker.run()).abort_handle());

                let listener = bind("operators.listen", operators.listen).await?;
                addresses.operators = Some(address(&listener)?);
                let token =
                    Token::load(&operators.token).map_err(|error| StartError::token(&error))?;
                let serving =
                    tokio::spawn(serve_operators(listener, loop_sender.clone(), peers, token));
                tasks.push(serving.abort_handle());
                RoleState::Entry(Box::new(EntryRole::new(&node, context)))
            }
            (_, _, Some(backend)) => {
                RoleState::Agent(Box::new(AgentRole::new(&node, backend.clone())))
            }
            (_, _, None) => {
                let reason = "settings have neither callers and operators nor a backend".to_owned();
                return Err(StartError { what: "role".to_owned(), reason });
            }
        };

        Ok(Self {
            node,
            role,
            events,
            tasks,
            addresses,
            applied_version: ConfigVersion::default(),
            member_states: HashMap::new(),
            stopping: false,
            gone_at: None,
            last_tick: MonoTime::ZERO,
        })
    }
}

/// The reason why a process can't start.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{what}: {reason}")]
pub struct StartError {
    /// The part that failed: a settings path with its address, `token`, `role` or `listener`.
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
    loop_sender: LoopSender,
    token: &Token,
    is_agent: bool,
) -> tokio::task::AbortHandle {
    let service = RpcService { loop_sender };
    let require_token = RequireToken { token: token.clone() };
    let node = NodeServer::with_interceptor(service.clone(), require_token.clone());
    let agent = is_agent.then(|| AgentServer::with_interceptor(service, require_token));
    let server = Server::builder().add_service(node).add_optional_service(agent);
    // Without Nagle's algorithm, the small chunks of an answer are sent at once.
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

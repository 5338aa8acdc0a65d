//! gRPC connections to the other processes.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use filbertcleat_base::Fault;
use filbertcleat_base::Step;
use filbertcleat_wire::v1::agent_client::AgentClient;
use filbertcleat_wire::v1::node_client::NodeClient;
use tonic::metadata::Ascii;
use tonic::metadata::MetadataValue;
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use crate::token::Token;

/// A channel that adds the shared token to each call.
pub(crate) type PeerChannel = InterceptedService<Channel, AttachToken>;

/// A cache of channels to the other processes.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    channels: Arc<Mutex<HashMap<String, Channel>>>,
    attach_token: AttachToken,
}

impl Peers {
    /// The timeout for opening a connection.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
    /// The most channels in the cache; a full cache is cleared.
    const CHANNELS_MAX: usize = 2048;
    /// The largest message, as a snapshot reply carries a whole configuration.
    const MESSAGE_MAX_BYTES: usize = 64 * 1024 * 1024;

    pub fn new(token: &Token) -> Self {
        let header = token.header().parse().ok();
        Self { channels: Arc::default(), attach_token: AttachToken { header } }
    }

    /// Returns a client of the node service of the process at `address`.
    pub fn node(&self, address: &str) -> Result<NodeClient<PeerChannel>, Fault> {
        let channel = self.channel(address)?;
        let client = NodeClient::with_interceptor(channel, self.attach_token.clone());
        Ok(client.max_decoding_message_size(Self::MESSAGE_MAX_BYTES))
    }

    /// Returns a client of the agent service of the process at `address`.
    pub fn agent(&self, address: &str) -> Result<AgentClient<PeerChannel>, Fault> {
        let channel = self.channel(address)?;
        Ok(AgentClient::with_interceptor(channel, self.attach_token.clone()))
    }

    fn channel(&self, address: &str) -> Result<Channel, Fault> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(address) {
            return Ok(channel.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|error| Fault::new(Step::Connect, address, error))?
            .connect_timeout(Self::CONNECT_TIMEOUT)
            .http2_keep_alive_interval(Duration::from_secs(10))
            .keep_alive_timeout(Duration::from_secs(5))
            .tcp_nodelay(true);
        let channel = endpoint.connect_lazy();
        if channels.len() >= Self::CHANNELS_MAX {
            channels.clear();
        }
        channels.insert(address.to_owned(), channel.clone());
        Ok(channel)
    }
}

/// Adds the shared token to each call.
#[derive(Clone, Debug)]
pub(crate) struct AttachToken {
    header: Option<MetadataValue<Ascii>>,
}

impl Interceptor for AttachToken {
    fn call(
        &mut self,
        mut request: tonic::Request<()>,
    ) -> Result<tonic::Request<()>, tonic::Status> {
        if let Some(header) = &self.header {
            request.metadata_mut().insert("authorization", header.clone());
        }
        Ok(request)
    }
}

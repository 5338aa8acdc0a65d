//! The implementation of the gRPC services for peers.

use filbertcleat_base::AttemptId;
use filbertcleat_policy::LoadRequest;
use filbertcleat_wire::v1;
use filbertcleat_wire::v1::agent_server;
use filbertcleat_wire::v1::node_server;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::Streaming;

use super::NotifyOnDrop;
use crate::agent::AgentEvent;
use crate::loop_event::ConfigRequest;
use crate::loop_event::LoopEvent;
use crate::loop_event::LoopSender;
use crate::loop_event::OperatorRequest;
use crate::loop_event::send_to_loop;

/// Forwards peers' calls to the event loop.
#[derive(Clone, Debug)]
pub(crate) struct RpcService {
    pub loop_sender: LoopSender,
}

impl RpcService {
    /// Sends a request to the event loop and returns its reply.
    async fn request<T>(
        &self,
        event: impl FnOnce(oneshot::Sender<T>) -> LoopEvent,
    ) -> Result<Response<T>, Status> {
        let (reply, answer) = oneshot::channel();
        send_to_loop(&self.loop_sender, event(reply));
        match answer.await {
            Ok(answer) => Ok(Response::new(answer)),
            Err(_closed) => Err(Status::unavailable("process is stopping")),
        }
    }
}

#[tonic::async_trait]
impl node_server::Node for RpcService {
    type TurnsStream = ReceiverStream<Result<v1::LoadGrant, Status>>;

    async fn exchange(&self, request: Request<v1::Digest>) -> Result<Response<v1::Digest>, Status> {
        let digest = request.into_inner();
        self.request(|reply| LoopEvent::ExchangeRequest { digest, reply }).await
    }

    async fn patches(
        &self,
        request: Request<v1::PatchesRequest>,
    ) -> Result<Response<v1::PatchesReply>, Status> {
        let after = request.into_inner().after;
        self.request(|reply| LoopEvent::ConfigRequest(ConfigRequest::Patches { after, reply }))
            .await
    }

    async fn snapshot(
        &self,
        _request: Request<v1::SnapshotRequest>,
    ) -> Result<Response<v1::SnapshotReply>, Status> {
        self.request(|reply| LoopEvent::ConfigRequest(ConfigRequest::Snapshot { reply })).await
    }

    async fn status(
        &self,
        _request: Request<v1::StatusRequest>,
    ) -> Result<Response<v1::StatusReply>, Status> {
        self.request(|reply| LoopEvent::OperatorRequest(OperatorRequest::Status { reply })).await
    }

    async fn timeline(
        &self,
        request: Request<v1::TimelineRequest>,
    ) -> Result<Response<v1::TimelineReply>, Status> {
        let query = request.into_inner();
        self.request(|reply| LoopEvent::OperatorRequest(OperatorRequest::Timeline { query, reply }))
            .await
    }

    async fn drain(
        &self,
        request: Request<v1::DrainRequest>,
    ) -> Result<Response<v1::DrainReply>, Status> {
        let operator = request.into_inner().operator;
        self.request(|reply| LoopEvent::OperatorRequest(OperatorRequest::Drain { operator, reply }))
            .await
    }

    async fn turns(
        &self,
        request: Request<Streaming<v1::LoadRequests>>,
    ) -> Result<Response<Self::TurnsStream>, Status> {
        let mut messages = request.into_inner();
        let (grants, mut granted) = mpsc::channel::<v1::LoadGrant>(16);
        let (sender, receiver) = mpsc::channel(16);
        let loop_sender = self.loop_sender.clone();
        tokio::spawn(async move {
            let mut from = None;
            loop {
                tokio::select! {
                    message = messages.message() => {
                        let Ok(Some(message)) = message else { break };
                        let name: filbertcleat_base::NodeName = message.from.into();
                        from = Some(name.clone());
                        let requests =
                            message.wants.iter().filter_map(load_request_from_wire).collect();
                        let released_grant = message.done;
                        let grants = grants.clone();
                        send_to_loop(
                            &loop_sender,
                            LoopEvent::LoadRequests {
                                from: name,
                                requests,
                                released_grant,
                                grants,
                            },
                        );
                    }
                    grant = granted.recv() => {
                        let Some(grant) = grant else { break };
                        if sender.send(Ok(grant)).await.is_err() {
                            break;
                        }
                    }
                }
            }
            if let Some(from) = from {
                send_to_loop(&loop_sender, LoopEvent::LoadStreamClosed { from, grants });
            }
        });
        Ok(Response::new(ReceiverStream::new(receiver)))
    }
}

#[tonic::async_trait]
impl agent_server::Agent for RpcService {
    type AttemptStream = NotifyOnDrop<v1::AttemptEvent>;

    async fn attempt(
        &self,
        request: Request<v1::AttemptRequest>,
    ) -> Result<Response<Self::AttemptStream>, Status> {
        let request = request.into_inner();
        let attempt = AttemptId::new(&request.attempt);
        let (events, receiver) = mpsc::unbounded_channel();
        send_to_loop(
            &self.loop_sender,
            LoopEvent::Agent(AgentEvent::AttemptReceived { request: Box::new(request), events }),
        );
        let on_drop = LoopEvent::Agent(AgentEvent::AttemptCancelled { attempt });
        Ok(Response::new(NotifyOnDrop::new(receiver, self.loop_sender.clone(), on_drop)))
    }
}

/// Parses a load request; returns `None` if it is malformed.
fn load_request_from_wire(request: &v1::LoadRequest) -> Option<LoadRequest> {
    let adapter = request.adapter.parse().ok()?;
    let class = request.class.parse().ok()?;
    Some(LoadRequest {
        adapter,
        class,
        urgency: request.urgency,
        urgency_growth_per_s: request.growth_per_s,
    })
}

//! The services that peers call.

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

use super::Ending;
use crate::agent::AgentEvent;
use crate::input::Input;
use crate::input::Inputs;
use crate::input::Inspection;
use crate::input::PeerQuestion;
use crate::input::tell;

/// Passes peers' calls to the loop.
#[derive(Clone, Debug)]
pub(crate) struct RpcService {
    pub inputs: Inputs,
}

impl RpcService {
    /// Asks the loop and waits for its answer.
    async fn ask<T>(
        &self,
        input: impl FnOnce(oneshot::Sender<T>) -> Input,
    ) -> Result<Response<T>, Status> {
        let (reply, answer) = oneshot::channel();
        tell(&self.inputs, input(reply));
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
        self.ask(|reply| Input::Exchange { digest, reply }).await
    }

    async fn patches(
        &self,
        request: Request<v1::PatchesRequest>,
    ) -> Result<Response<v1::PatchesReply>, Status> {
        let after = request.into_inner().after;
        self.ask(|reply| Input::Configuration(PeerQuestion::Patches { after, reply })).await
    }

    async fn snapshot(
        &self,
        _request: Request<v1::SnapshotRequest>,
    ) -> Result<Response<v1::SnapshotReply>, Status> {
        self.ask(|reply| Input::Configuration(PeerQuestion::Snapshot { reply })).await
    }

    async fn status(
        &self,
        _request: Request<v1::StatusRequest>,
    ) -> Result<Response<v1::StatusReply>, Status> {
        self.ask(|reply| Input::Inspect(Inspection::Status { reply })).await
    }

    async fn timeline(
        &self,
        request: Request<v1::TimelineRequest>,
    ) -> Result<Response<v1::TimelineReply>, Status> {
        let query = request.into_inner();
        self.ask(|reply| Input::Inspect(Inspection::Timeline { query, reply })).await
    }

    async fn drain(
        &self,
        request: Request<v1::DrainRequest>,
    ) -> Result<Response<v1::DrainReply>, Status> {
        let operator = request.into_inner().operator;
        self.ask(|reply| Input::Inspect(Inspection::Drain { operator, reply })).await
    }

    async fn turns(
        &self,
        request: Request<Streaming<v1::LoadRequests>>,
    ) -> Result<Response<Self::TurnsStream>, Status> {
        let mut messages = request.into_inner();
        let (grants, mut granted) = mpsc::channel::<v1::LoadGrant>(16);
        let (sender, receiver) = mpsc::channel(16);
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let mut from = None;
            loop {
                tokio::select! {
                    message = messages.message() => {
                        let Ok(Some(message)) = message else { break };
                        let name: filbertcleat_base::NodeName = message.from.into();
                        from = Some(name.clone());
                        let wants = message.wants.iter().filter_map(want).collect();
                        let done = message.done;
                        let grants = grants.clone();
                        tell(&inputs, Input::Turns { from: name, wants, done, grants });
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
                tell(&inputs, Input::TurnsClosed { from, grants });
            }
        });
        Ok(Response::new(ReceiverStream::new(receiver)))
    }
}

#[tonic::async_trait]
impl agent_server::Agent for RpcService {
    type AttemptStream = Ending<v1::AttemptEvent>;

    async fn attempt(
        &self,
        request: Request<v1::AttemptRequest>,
    ) -> Result<Response<Self::AttemptStream>, Status> {
        let request = request.into_inner();
        let attempt = AttemptId::new(&request.attempt);
        let (events, receiver) = mpsc::unbounded_channel();
        tell(&self.inputs, Input::Agent(AgentEvent::Offer { request: Box::new(request), events }));
        let at_end = Input::Agent(AgentEvent::Cancel { attempt });
        Ok(Response::new(Ending::new(receiver, self.inputs.clone(), at_end)))
    }
}

fn want(want: &v1::LoadRequest) -> Option<LoadRequest> {
    let adapter = want.adapter.parse().ok()?;
    let class = want.class.parse().ok()?;
    Some(LoadRequest {
        adapter,
        class,
        urgency: want.urgency,
        urgency_growth_per_s: want.growth_per_s,
    })
}

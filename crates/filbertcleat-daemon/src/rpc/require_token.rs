//! Authentication of peers that call this process.

use tonic::Request;
use tonic::Status;
use tonic::service::Interceptor;

use crate::token::Token;

/// Rejects calls that do not present the shared token.
#[derive(Clone, Debug)]
pub(crate) struct RequireToken {
    pub token: Token,
}

impl Interceptor for RequireToken {
    fn call(&mut self, request: Request<()>) -> Result<Request<()>, Status> {
        let header = request.metadata().get("authorization").and_then(|value| value.to_str().ok());
        if self.token.matches(header) {
            Ok(request)
        } else {
            Err(Status::unauthenticated("shared token is missing or wrong"))
        }
    }
}

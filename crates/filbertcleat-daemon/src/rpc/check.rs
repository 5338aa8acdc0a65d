//! Turns away peers without the shared token.

use tonic::Request;
use tonic::Status;
use tonic::service::Interceptor;

use crate::token::Token;

/// Turns away peers without the shared token.
#[derive(Clone, Debug)]
pub(crate) struct Check {
    pub token: Token,
}

impl Interceptor for Check {
    fn call(&mut self, request: Request<()>) -> Result<Request<()>, Status> {
        let header = request.metadata().get("authorization").and_then(|value| value.to_str().ok());
        if self.token.matches(header) {
            Ok(request)
        } else {
            Err(Status::unauthenticated("shared token is missing or wrong"))
        }
    }
}

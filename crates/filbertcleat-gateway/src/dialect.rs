//! The HTTP headers of a deployment.

mod attempt;
mod caller;
mod identity;
mod request;
mod response;

use filbertcleat_serve::ServerId;
use filbertcleat_serve::ServiceSpec;
use http::HeaderMap;
use http::Request;

pub use self::attempt::AttemptMetadata;
pub use self::caller::AttemptCaller;
pub use self::identity::ServerIdentity;
pub use self::request::ApiKey;
pub use self::request::RequestMetadata;
pub use self::response::ResponseMetadata;

/// Translates between the HTTP headers of a deployment and the metadata that filbertcleat uses.
pub trait Dialect: 'static {
    /// Parses the headers of a caller's request.
    fn parse_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Writes the headers of an attempt for a backend server.
    ///
    /// Removes headers of the caller that only filbertcleat may set.
    fn write_attempt(&self, headers: &mut HeaderMap, metadata: &AttemptMetadata);

    /// Parses the headers of a backend server's response.
    fn parse_response(&self, headers: &HeaderMap) -> ResponseMetadata;

    /// Returns the requests to which a backend server answers for as long as its process runs, and
    /// which any other server calls misdirected. A later one is for answers that lack the identity.
    fn identity_requests(&self, server: &ServerId, service: &ServiceSpec) -> Vec<Request<()>>;

    /// Parses the answer to such a request. The body may be incomplete.
    fn parse_identity(&self, headers: &HeaderMap, body: &[u8]) -> ServerIdentity;
}

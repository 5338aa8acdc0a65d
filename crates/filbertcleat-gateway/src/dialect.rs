//! The HTTP headers of a deployment.

mod attempt;
mod caller;
mod request;
mod response;

use http::HeaderMap;

pub use self::attempt::AttemptMetadata;
pub use self::caller::AttemptCaller;
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
}

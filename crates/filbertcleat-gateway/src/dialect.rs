//! Headers of requests and answers, as a deployment names them.

mod answer;
mod request;
mod send;

use http::HeaderMap;

pub use self::answer::ResponseMetadata;
pub use self::request::RequestMetadata;
pub use self::send::AttemptMetadata;

/// How a deployment says in headers what concerns filbertcleat.
pub trait Dialect: 'static {
    /// Reads a caller's request.
    fn parse_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Writes what a backend server has to know, and removes what only filbertcleat may set.
    fn write_attempt(&self, headers: &mut HeaderMap, facts: &AttemptMetadata);

    /// Reads a backend server's answer.
    fn parse_response(&self, headers: &HeaderMap) -> ResponseMetadata;
}

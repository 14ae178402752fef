//! The methods that a gateway serves. Validation of requests and answers, the OpenAPI and AsyncAPI documents and the
//! comparison of releases all derive from one [`Catalogue`], so that they cannot diverge.
//!
//! [`Routes`] maps a path or routing key to its method. [`Releases`] records under which catalogue an RPC was accepted.
//! Only [`Catalogue::from_config`] reads files, through the configuration; time is passed in by the caller.

mod catalogue;
mod compare;
mod documents;
mod releases;
mod routes;
mod strict;

pub use catalogue::{BodyError, Catalogue, CatalogueError, Effect, Method, Payload};
pub use compare::{compare, Change};
pub use documents::{asyncapi, etag, method_from_path, method_path, openapi, render};
pub use releases::{MethodStatus, Release, Releases, TooManyReleases, WithdrawnMethods};
pub use routes::Routes;

//! The methods that a gateway serves. One [`Catalogue`] gives the checks of what comes and goes, the OpenAPI and the
//! AsyncAPI document and the comparison of releases, so that none can drift from the others.
//!
//! [`Routes`] finds the method of a path or a routing key; [`Releases`] knows which catalogue an RPC was taken under.
//! Nothing here does I/O: files are read by whoever builds a catalogue, and time is handed in.

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

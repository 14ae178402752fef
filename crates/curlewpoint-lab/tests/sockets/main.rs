//! The gateway on real sockets, before workers that do as a test says.

mod amqp;
mod common;
mod document;
mod doors;
mod hard;
mod http;
mod reload;

//! The gateway on real sockets, before workers that do as a test says.

mod amqp;
mod common;
mod document;
mod hard;
mod http;
mod listeners;
mod reload;

//! The gateway on real sockets with scripted workers.

mod amqp;
mod closes;
mod common;
mod document;
mod hard;
mod http;
mod listeners;
mod reload;

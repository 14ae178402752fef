//! The laboratory: stand-ins on loopback sockets, scripted days, a client, and the checker of the five rules.

mod check;
mod client;
mod day;
mod record;
mod report;
mod script;
pub mod stand;
mod trigger;
mod web;

pub use check::{judge, Break, Effect, Terms, Verdict, RULES};
pub use client::{call, rpc_frame, Called, Office};
pub use day::{client, play, Day, Entrance, Shared, Traffic};
pub use record::{Record, Seen};
pub use report::{draw, table, Row};
pub use script::{At, Complain, Kind, Script, BAD_DAY, CONFIG, SECOND_DAY};
pub use trigger::{trigger, Ask, Told};
pub use web::WebOffice;

//! The laboratory: stand-ins on loopback sockets, scripted days, a client, and the checker of the five rules.

mod http_client;
mod native_client;
mod report;
mod rules;
mod scenario;
mod script;
pub mod test_servers;
mod transcript;
mod trigger;

pub use http_client::HttpClient;
pub use native_client::{call, encode_rpc, CallOutcome, NativeClient};
pub use report::{render, summarize, MethodSummary};
pub use rules::{check_rules, Effect, RuleParameters, Verdict, Violation, RULES};
pub use scenario::{generate_load, run_scenario, ClientProtocol, ScenarioResult, SharedTraffic, Traffic};
pub use script::{EventKind, ReportError, Script, ScriptEvent, BAD_DAY, REHEARSAL_CONFIG, SECOND_DAY};
pub use transcript::{Transcript, TranscriptEvent};
pub use trigger::{trigger, TriggerAnswer, TriggerRequest};

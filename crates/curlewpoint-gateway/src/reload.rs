use std::collections::BTreeMap;
use std::sync::Arc;

use curlewpoint::types::Time;
use curlewpoint_catalogue::{asyncapi, etag, openapi, render, Catalogue, Release, Routes, WithdrawnMethods};
use curlewpoint_config::{milliseconds, Config};
use curlewpoint_trigger::Effect;
use serde_json::Value;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tracing::{info, warn};

use crate::events::Event;

/// Everything that the endpoints need of a catalogue. Prepared before it becomes active, so that the engine's task does
/// not wait for it.
pub(crate) struct PreparedMethods {
    pub catalogue: Arc<Catalogue>,
    pub routes: Routes<String>,
    /// Path, entity tag and text of each API document.
    pub documents: [(&'static str, String, String); 2],
    /// The effect of each method for AMQP triggers, with the scope and lifetime of its tokens.
    pub effects: BTreeMap<String, Effect>,
}

impl PreparedMethods {
    pub fn from_config(config: &Config) -> Result<PreparedMethods, ReloadError> {
        let invalid = |messages: Vec<String>| ReloadError::InvalidCatalogue(messages.join("; "));
        let catalogue = Catalogue::from_config(config)
            .map_err(|errors| invalid(errors.iter().map(ToString::to_string).collect()))?;
        let mut routes = Routes::new('/');
        for method in catalogue.methods() {
            let pattern = format!("/v1/{}/*", method.name);
            routes.add(&pattern, method.name.clone()).map_err(|message| invalid(vec![message]))?;
        }
        let document = |path, text: String| (path, etag(&text), text);
        let documents = [
            document("/openapi.json", render(&openapi(&catalogue))),
            document("/asyncapi.json", render(&asyncapi(&catalogue))),
        ];
        let effect = |name: &String| match config.method_value(name, "effect") {
            "idempotent" => Effect::Idempotent,
            "tokened" => {
                let token_lifetime = milliseconds(config.method_value(name, "memory-span")).unwrap_or(0.0);
                let all_workers = config.method_value(name, "group") == "all";
                Effect::Tokened { all_workers, token_lifetime: Time::from_ms(token_lifetime) }
            }
            _ => Effect::SideEffecting,
        };
        let effects = config.methods().iter().map(|name| (name.clone(), effect(name))).collect();
        Ok(PreparedMethods { catalogue: Arc::new(catalogue), routes, documents, effects })
    }
}

/// The methods that endpoints serve until the next reload.
pub(crate) struct ActiveMethods {
    pub release: Release,
    pub prepared: Arc<PreparedMethods>,
    pub withdrawn: WithdrawnMethods,
}

/// Why a reload was rejected. The active methods stay as they are.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ReloadError {
    #[error("this changes only at a restart: {}", .0.join(", "))]
    RequiresRestart(Vec<String>),
    #[error("invalid method schemas: {0}")]
    InvalidCatalogue(String),
    #[error("{0} sets of methods still have RPCs open: try again later")]
    TooManyReleases(usize),
    #[error("too many different method settings have been served: restart the scheduler")]
    TooManyMethodSettings,
    #[error("the scheduler is stopping")]
    SchedulerStopped,
}

/// A reload for the engine's task to apply.
pub(crate) struct Reload {
    pub prepared: Arc<PreparedMethods>,
    /// The decision module's settings of the methods.
    pub method_settings: Vec<Value>,
    pub reply: oneshot::Sender<Result<Release, ReloadError>>,
}

/// Replaces the methods of a running scheduler.
#[derive(Clone)]
pub struct ReloadHandle {
    pub(crate) event_tx: mpsc::Sender<Event>,
    /// The configuration at the start. Everything but the methods must stay the same.
    pub(crate) initial: Arc<Config>,
}

impl ReloadHandle {
    /// Serves the methods of this configuration from now on. Nothing else in it may differ from the configuration at
    /// the start. On any error the active methods stay, and one log line states the reason.
    pub async fn reload(&self, config: Config) -> Result<Release, ReloadError> {
        let result = self.apply(config).await;
        match &result {
            Ok(release) => info!(release = release.0, "reloaded"),
            Err(reason) => warn!("reload refused, the methods in force stay: {reason}"),
        }
        result
    }

    async fn apply(&self, config: Config) -> Result<Release, ReloadError> {
        let changes = self.initial.changes_requiring_restart(&config);
        if !changes.is_empty() {
            return Err(ReloadError::RequiresRestart(changes));
        }
        // Compiling schemas and rendering documents takes long for a large catalogue, so it runs on a blocking thread.
        let preparing = tokio::task::spawn_blocking(move || {
            Ok((Arc::new(PreparedMethods::from_config(&config)?), config.method_settings()))
        });
        let (prepared, method_settings) = preparing.await.map_err(|_| ReloadError::SchedulerStopped)??;
        let (reply, result) = oneshot::channel();
        let reload = Reload { prepared, method_settings, reply };
        self.event_tx.send(Event::Reload(reload)).await.map_err(|_| ReloadError::SchedulerStopped)?;
        result.await.map_err(|_| ReloadError::SchedulerStopped)?
    }
}

use std::collections::BTreeMap;
use std::sync::Arc;

use curlewpoint::types::Time;
use curlewpoint_catalogue::{asyncapi, etag, openapi, render, Catalogue, Release, Routes, Withdrawn};
use curlewpoint_config::{milliseconds, Config};
use curlewpoint_trigger::Effect;
use serde_json::Value;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tracing::{info, warn};

use crate::notes::Note;

/// All that doors need of a catalogue, made before it comes into force so that the engine's task does not wait for it.
pub(crate) struct Prepared {
    pub catalogue: Arc<Catalogue>,
    pub routes: Routes<String>,
    /// Path, entity tag and text of each.
    pub documents: [(&'static str, String, String); 2],
    /// What triggers go by: the effect of each method, and where and for how long its tokens are known.
    pub effects: BTreeMap<String, Effect>,
}

impl Prepared {
    pub fn of(config: &Config) -> Result<Prepared, ReloadError> {
        let at_fault = |what: Vec<String>| ReloadError::InvalidCatalogue(what.join("; "));
        let catalogue = Catalogue::of(config)
            .map_err(|faults| at_fault(faults.iter().map(ToString::to_string).collect()))?;
        let mut routes = Routes::new('/');
        for method in catalogue.methods() {
            let pattern = format!("/v1/{}/*", method.name);
            routes.add(&pattern, method.name.clone()).map_err(|why| at_fault(vec![why]))?;
        }
        let document = |path, text: String| (path, etag(&text), text);
        let documents = [
            document("/openapi.json", render(&openapi(&catalogue))),
            document("/asyncapi.json", render(&asyncapi(&catalogue))),
        ];
        let effect = |name: &String| match config.method_value(name, "effect") {
            "idempotent" => Effect::Idempotent,
            "tokened" => {
                let span = milliseconds(config.method_value(name, "memory-span")).unwrap_or(0.0);
                let everywhere = config.method_value(name, "group") == "all";
                Effect::Tokened { everywhere, span: Time::from_ms(span) }
            }
            _ => Effect::SideEffecting,
        };
        let effects = config.methods().iter().map(|name| (name.clone(), effect(name))).collect();
        Ok(Prepared { catalogue: Arc::new(catalogue), routes, documents, effects })
    }
}

/// What doors go by from one reload to the next.
pub(crate) struct InForce {
    pub release: Release,
    pub prepared: Arc<Prepared>,
    pub withdrawn: Withdrawn,
}

/// Why the methods in force stay.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ReloadError {
    #[error("this changes only at a restart: {}", .0.join(", "))]
    RequiresRestart(Vec<String>),
    #[error("the methods' schemas are at fault: {0}")]
    InvalidCatalogue(String),
    #[error("{0} sets of methods still have RPCs open: try again later")]
    TooManyReleases(usize),
    #[error("too many sets of terms have been served: this needs a restart")]
    TooManyMethodSettings,
    #[error("the scheduler ends")]
    SchedulerStopped,
}

pub(crate) struct Reload {
    pub prepared: Arc<Prepared>,
    pub terms: Vec<Value>,
    pub told: oneshot::Sender<Result<Release, ReloadError>>,
}

/// Puts other methods into force while a scheduler runs.
#[derive(Clone)]
pub struct ReloadHandle {
    pub(crate) notes: mpsc::Sender<Note>,
    /// What was started with: all but the methods stays as it is there.
    pub(crate) started: Arc<Config>,
}

impl ReloadHandle {
    /// Serves the methods of this configuration from here on; nothing else in it may differ from that of the start. On
    /// any fault those in force stay, and one log line says why.
    pub async fn reload(&self, config: Config) -> Result<Release, ReloadError> {
        let done = self.put_into_force(config).await;
        match &done {
            Ok(release) => info!(release = release.0, "reloaded"),
            Err(why) => warn!("reload refused, the methods in force stay: {why}"),
        }
        done
    }

    async fn put_into_force(&self, config: Config) -> Result<Release, ReloadError> {
        let differs = self.started.changes_requiring_restart(&config);
        if !differs.is_empty() {
            return Err(ReloadError::RequiresRestart(differs));
        }
        // Schemas are compiled and documents written on a thread of their own: a large catalogue takes its time.
        let preparing = tokio::task::spawn_blocking(move || {
            Ok((Arc::new(Prepared::of(&config)?), config.method_settings()))
        });
        let (prepared, terms) = preparing.await.map_err(|_| ReloadError::SchedulerStopped)??;
        let (told, tell) = oneshot::channel();
        let reload = Reload { prepared, terms, told };
        self.notes.send(Note::Reload(reload)).await.map_err(|_| ReloadError::SchedulerStopped)?;
        tell.await.map_err(|_| ReloadError::SchedulerStopped)?
    }
}

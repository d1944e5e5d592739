//! Client for the admin API of a daemon.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use agatesill_wire::api::{ConfigChange, VersionedConfig};
use agatesill_wire::http::JsonClient;
use agatesill_wire::prelude::*;
use clap::ArgMatches;
use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Timeout of one call. A configuration change may require several store calls of the daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Client for one daemon's admin API on behalf of an operator.
#[derive(Clone, Debug)]
pub struct Admin {
    client: JsonClient,
    addr: SocketAddr,
    /// Name of the operator.
    pub operator: String,
}

impl Admin {
    /// Creates a client from the global arguments.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self, Error> {
        let operator = matches
            .get_one::<String>("operator")
            .cloned()
            .or_else(|| std::env::var("USER").ok())
            .unwrap_or_else(|| "unnamed".to_owned());
        let token = match matches.get_one::<PathBuf>("token-file") {
            Some(path) => std::fs::read_to_string(path).map_err(|error| {
                Error::new(ErrorKind::Settings, format!("--token-file {}: {error}", path.display()))
            })?,
            None => String::new(),
        };
        let addr = matches
            .get_one::<SocketAddr>("addr")
            .copied()
            .ok_or_else(|| Error::new(ErrorKind::Settings, "--addr is missing"))?;
        Ok(Self { client: JsonClient::for_operator(&operator, token.trim()), addr, operator })
    }

    /// Returns a client for another daemon.
    pub fn at(&self, addr: SocketAddr) -> Self {
        Self { addr, ..self.clone() }
    }

    /// Sends a GET request to `path`.
    pub async fn get<R: DeserializeOwned>(&self, path: &str) -> Result<R, Error> {
        self.client.call(Method::GET, self.addr, path, &(), CALL_TIMEOUT).await
    }

    /// Sends a POST request with `body` to `path`.
    pub async fn post<B: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<R, Error> {
        self.client.call(Method::POST, self.addr, path, body, CALL_TIMEOUT).await
    }

    /// Sends a DELETE request to `path`.
    pub async fn delete<R: DeserializeOwned>(&self, path: &str) -> Result<R, Error> {
        self.client.call(Method::DELETE, self.addr, path, &(), CALL_TIMEOUT).await
    }

    /// Returns the daemon's active configuration.
    pub async fn config(&self) -> Result<VersionedConfig, Error> {
        self.get("/v1/config").await
    }

    /// Returns an empty configuration change with the arguments that all changes share.
    pub fn change(&self, matches: &ArgMatches) -> ConfigChange {
        ConfigChange {
            operation_id: operation_id(&self.operator),
            base_version: matches.get_one::<u64>("base-version").copied().unwrap_or(0),
            author: self.operator.clone(),
            reason: matches.get_one::<String>("reason").cloned().unwrap_or_default(),
            profiles: Default::default(),
            services: Default::default(),
            teams: Default::default(),
            evacuations: Default::default(),
        }
    }
}

/// Returns the idempotency key of a change. It is made of operator, process ID and time, so that a
/// retry of the same change is recognised and different changes never share a key.
fn operation_id(operator: &str) -> String {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default()
        .as_nanos();
    format!("{operator}-{}-{now}", std::process::id())
}

//! Calls to a host's operators' listener.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bytes::Bytes;
use dillspool_config::ConfigError;
use dillspool_host::AdminProblem;
use dillspool_io::{HttpClient, HttpError, NetStack, read_body};
use http_body_util::Full;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// Environment variable with the operator's key; keys do not belong on a command line.
const KEY_VARIABLE: &str = "DILLSPOOL_KEY";
/// Time for a call; an apply may have to settle an unclear write.
const CALL_LIMIT: Duration = Duration::from_secs(30);
/// Longest reply, in bytes.
const REPLY_LIMIT: usize = 64 * 1024 * 1024;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    #[snafu(display("{source}"))]
    File { source: ConfigError },
    #[snafu(display("cannot read {what}: {source}; check that it is there"))]
    Read { what: String, source: std::io::Error },
    #[snafu(display("{KEY_VARIABLE} is not set; set it to your operator's key"))]
    NoKey,
    #[snafu(display("{source}"))]
    Call { source: HttpError },
    #[snafu(display("{}", problem.message))]
    Refused { problem: AdminProblem },
    #[snafu(display(
        "the host's reply cannot be read: {reason}; use the same version as the hosts"
    ))]
    Reply { reason: String },
    #[snafu(display("{message}"))]
    Demo { message: String },
}

impl CliError {
    /// The exit code that the help text promises.
    pub(crate) fn exit_code(&self) -> ExitCode {
        let code = match self {
            Self::File { .. } => 3,
            Self::Refused { problem } => match &*problem.code {
                "invalid_configuration" => 3,
                "lost_race" => 4,
                "unclear" => 5,
                _other => 1,
            },
            Self::Read { .. }
            | Self::NoKey
            | Self::Call { .. }
            | Self::Reply { .. }
            | Self::Demo { .. } => 1,
        };
        ExitCode::from(code)
    }
}

/// A client of one host.
#[derive(Clone, Debug)]
pub(crate) struct AdminClient {
    http: HttpClient,
    server: SocketAddr,
    key: String,
}

impl AdminClient {
    /// A client with the key from the environment.
    pub(crate) fn from_environment(server: SocketAddr) -> Result<Self, CliError> {
        let Ok(key) = std::env::var(KEY_VARIABLE) else {
            return NoKeySnafu.fail();
        };
        Ok(Self::new(&NetStack::tcp(), server, key))
    }

    pub(crate) fn new(stack: &NetStack, server: SocketAddr, key: String) -> Self {
        Self { http: HttpClient::pooled(stack), server, key }
    }

    pub(crate) async fn get<R: DeserializeOwned>(&self, path: &str) -> Result<R, CliError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    pub(crate) async fn post<Q: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        query: &Q,
    ) -> Result<R, CliError> {
        let body = serde_json::to_vec(query).unwrap_or_default();
        self.call(Method::POST, path, body.into()).await
    }

    async fn call<R: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<R, CliError> {
        let unreadable = |reason: String| CliError::Reply { reason };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .body(Full::new(body))
            .map_err(|error| unreadable(error.to_string()))?;
        let exchange = async {
            let response = self.http.send(self.server, request).await;
            let response = response.map_err(|source| CliError::Call { source })?;
            let status = response.status();
            let bytes = read_body(response.into_body(), REPLY_LIMIT)
                .await
                .map_err(|error| unreadable(error.to_string()))?;
            if status.is_success() {
                return serde_json::from_slice(&bytes)
                    .map_err(|error| unreadable(error.to_string()));
            }
            let problem = serde_json::from_slice::<AdminProblem>(&bytes)
                .map_err(|_none| unreadable(format!("status {status}")))?;
            RefusedSnafu { problem }.fail()
        };
        match tokio::time::timeout(CALL_LIMIT, exchange).await {
            Ok(reply) => reply,
            Err(_elapsed) => ReplySnafu { reason: "no reply in time" }.fail(),
        }
    }
}

//! Commands that send a request to a running controller over HTTP and print the response as JSON.

use super::arguments::InspectTopic;
use super::error::CommandError;
use crate::jobs::model::JobId;
use crate::time::{Micros, SECOND};
use crate::wire::client::{Client, ClientResponse};
use crate::wire::{ErrorBody, decode, encode};
use ciborium::Value;
use http_types::Method;
use std::net::SocketAddr;
use std::path::Path;

/// Timeout of a request: longer than a controller takes to answer a user, and short enough for interactive use.
const REQUEST_TIMEOUT: Micros = 5 * SECOND;

/// Submits the job that a JSON file describes; `-` is standard input.
pub(super) fn submit(node: SocketAddr, file: &Path) -> Result<(), CommandError> {
    let file_name = || file.display().to_string();
    let text = if file.as_os_str() == "-" {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(file)
    };
    let text = text.map_err(|source| CommandError::ReadJob {
        file: file_name(),
        source,
    })?;
    let job = serde_json::from_str::<serde_json::Value>(&text).map_err(|source| {
        CommandError::ParseJob {
            file: file_name(),
            source,
        }
    })?;
    send(node, Method::Post, "/api/jobs", Some(encode(&job)))
}

/// Shows a job.
pub(super) fn show(node: SocketAddr, id: &str) -> Result<(), CommandError> {
    send(node, Method::Get, &job_path(id), None)
}

/// Cancels a job.
pub(super) fn cancel(node: SocketAddr, id: &str) -> Result<(), CommandError> {
    let path = format!("{}/withdraw", job_path(id));
    send(node, Method::Post, &path, Some(Vec::new()))
}

/// Shows the state of a controller for a topic.
pub(super) fn inspect(
    node: SocketAddr,
    topic: InspectTopic,
    id: Option<&str>,
) -> Result<(), CommandError> {
    let path = topic.path();
    match (topic, id) {
        (_, None) => send(node, Method::Get, path, None),
        (InspectTopic::Jobs, Some(id)) => {
            let id: JobId = id.into();
            send(node, Method::Get, &format!("{path}/{id}"), None)
        }
        (_, Some(_)) => Err(CommandError::Usage("an id goes with `inspect jobs` only")),
    }
}

fn job_path(id: &str) -> String {
    let id: JobId = id.into();
    format!("/api/jobs/{id}")
}

/// Explains an error status whose response contains no reason.
fn status_meaning(status: u16) -> &'static str {
    match status {
        404 => "nobody submitted this, or there is no such page",
        429 => "too much at once, try again in a moment",
        503 => "cannot tell or take anything now, try again in a moment",
        _ => "refused",
    }
}

/// Sends one request and prints the response if its status is a success.
fn send(
    node: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Vec<u8>>,
) -> Result<(), CommandError> {
    let client = Client::new(1);
    let call = client.call(node, method, path, body, REQUEST_TIMEOUT);
    let ClientResponse { status, body } = async_io::block_on(call)?;
    if (200..300).contains(&status) {
        println!("{}", as_json(&body).unwrap_or_default());
        return Ok(());
    }
    let reason = decode::<ErrorBody>(&body).ok().map(|body| body.error);
    let reason = reason
        .or_else(|| as_json(&body))
        .unwrap_or_else(|| status_meaning(status).into());
    Err(CommandError::Rejected { status, reason })
}

/// Converts a CBOR body to indented JSON; `None` if it is not CBOR.
fn as_json(body: &[u8]) -> Option<String> {
    let value = decode::<Value>(body).ok()?;
    serde_json::to_string_pretty(&value).ok()
}

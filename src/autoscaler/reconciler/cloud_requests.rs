//! Requests to the cloud.

use crate::controller::Controller;
use crate::time::{Micros, SECOND};
use crate::wire::WireError;
use crate::wire::client::ClientResponse;
use http_types::Method;

/// Timeout of a request to the cloud.
const CLOUD_REQUEST_TIMEOUT: Micros = 5 * SECOND;

impl Controller {
    /// Sends a request without a body to the cloud.
    pub(super) async fn get_from_cloud(&self, path: &str) -> Result<ClientResponse, WireError> {
        self.call_cloud(Method::Get, path, None).await
    }

    /// Sends a request with a body to the cloud. Without an answer it may still be carried out later.
    pub(super) async fn post_to_cloud(
        &self,
        path: &str,
        body: Vec<u8>,
    ) -> Result<ClientResponse, WireError> {
        self.call_cloud(Method::Post, path, Some(body)).await
    }

    async fn call_cloud(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<ClientResponse, WireError> {
        let cloud = self.settings.cloud;
        let timeout = CLOUD_REQUEST_TIMEOUT;
        self.http.call(cloud, method, path, body, timeout).await
    }
}

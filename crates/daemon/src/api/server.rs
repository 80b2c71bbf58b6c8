//! HTTP server of the operators' API.

use std::{net::SocketAddr, sync::Arc};

use dropshot::{ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};

use super::{Context, endpoint};

/// Largest request body in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// The running API server of one balancer. Dropping it stops the server.
pub struct Server {
    server: HttpServer<Arc<Context>>,
}

impl Server {
    /// Starts to serve the API on `listen`.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn start(listen: SocketAddr, context: Context) -> anyhow::Result<Self> {
        let config = ConfigDropshot {
            bind_address: listen,
            default_request_body_max_bytes: MAX_BODY_BYTES,
            // A confirm is carried through even if its client disconnects.
            default_handler_task_mode: HandlerTaskMode::Detached,
            ..ConfigDropshot::default()
        };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let server = ServerBuilder::new(endpoint::description()?, Arc::new(context), log)
            .config(config)
            .start()
            .map_err(|error| anyhow::anyhow!("api: cannot serve on {listen}: {error}"))?;
        Ok(Self { server })
    }

    /// The local address of the server.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }
}

/// The OpenAPI description of the operators' API, as JSON text.
///
/// # Errors
///
/// If the endpoints conflict with each other.
pub fn openapi() -> anyhow::Result<String> {
    let version = env!("CARGO_PKG_VERSION").parse()?;
    let json = endpoint::description()?
        .openapi("sassafrasmast", version)
        .json()?;
    Ok(serde_json::to_string_pretty(&json)? + "\n")
}

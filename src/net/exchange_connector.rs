use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use http::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use tower_service::Service;

use super::client::connector;
use super::{ExchangeState, ExchangeStream};

/// Opens connections that are reset if they are dropped while a response is outstanding. A
/// response's extensions hold the [`ExchangeState`] of its connection, which its reader completes.
#[derive(Clone, Debug)]
pub struct ExchangeConnector(HttpConnector);

impl Default for ExchangeConnector {
    fn default() -> Self {
        Self(connector())
    }
}

impl Connection for ExchangeStream {
    fn connected(&self) -> Connected {
        Connected::new().extra(self.exchange().clone())
    }
}

impl Service<Uri> for ExchangeConnector {
    type Response = TokioIo<ExchangeStream>;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<Self::Response>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.poll_ready(cx).map_err(io::Error::other)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        Box::pin(async move {
            let stream = connecting.await.map_err(io::Error::other)?.into_inner();
            Ok(TokioIo::new(ExchangeStream::new(stream, ExchangeState::default())))
        })
    }
}

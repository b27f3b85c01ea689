//! HTTP clients, servers, bodies and headers that all processes share.

mod answer;
mod body_error;
mod channel_body;
mod client;
mod collect;
mod draining;
mod either_body;
mod event_splitter;
mod exchange_connector;
mod exchange_stream;
mod header_value;
mod headers;
mod receive;
mod renewable_client;
mod serve;
mod watched_stream;
mod whole_body;

pub use answer::{json_answer, refusal_answer, text_answer};
pub use body_error::BodyError;
pub use channel_body::{BodySender, ChannelBody};
pub use client::{ExchangeClient, HttpClient, exchange_client, h1_client, h2_client, is_not_sent};
pub use collect::{BodyLimits, CollectError, collect};
pub use draining::{DrainTimes, Draining, RequestEnd};
pub use either_body::{AnswerBody, EitherBody};
pub use event_splitter::EventSplitter;
pub use exchange_connector::ExchangeConnector;
pub use exchange_stream::{ExchangeState, ExchangeStream};
pub use header_value::{header_millis, header_str};
pub use headers::*;
pub use receive::{discard, receive};
pub use renewable_client::{ClientLease, RenewableClient};
pub use serve::{H1Limits, Handler, Shutdown, serve, serve_h1};
pub use whole_body::WholeBody;

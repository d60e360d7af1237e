//! Messages between the system's processes and their transport: HTTP/2 with MessagePack bodies.
//!
//! The decision code in `crate::decision` does not depend on the encoding; the control threads
//! translate between messages and decisions.

mod account_messages;
mod answer_stream;
mod client;
mod codec;
mod fleet_messages;
mod messages;
mod server;
mod version_exchange;

pub use account_messages::{AccountReply, AccountReport};
pub use answer_stream::{AnswerReader, encode_frame};
pub use client::{PeerClient, PeerError};
pub use codec::{CodecError, decode_message, encode_message};
pub use fleet_messages::{
    ConfigurationDocument, ConfigurationRequest, EvidenceReply, EvidenceRequest, FaultNotice,
    NodeHello, NodeIdentity, OrderMessage, OrderReply, RouteEvidence, UpstreamOrder,
};
pub use messages::{
    AgentLoad, AgentNotice, AnswerAcknowledgement, AnswerEvent, AnswerFrame, AnswerHead,
    AnswerRequest, CancelRequest, FetchReply, FetchRequest, HeaderField, NoticeKind, OfferBatch,
    OfferRefusal, OfferReply, PeerCall, RefusedOffer, RequestContent, RequestOffer, RunFailure,
    RunRefusal, RunState, SuspectEntry, SuspectNotice, WithdrawBatch, replay_head,
};
pub use server::{NodelayListener, PeerReply, read_message, write_reply};
pub use version_exchange::{CONFIGURATION_HEADER, ReportedVersion, SENDER_HEADER, VersionExchange};

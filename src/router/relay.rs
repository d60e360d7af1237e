//! Relays an answer from an agent to the caller.
//!
//! When the connection to the agent fails or goes silent, the relay opens a new one and resumes at
//! the body offset that it has reached.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::StatusCode;

use super::RouterContext;
use crate::ids::{AttemptId, RequestId, format_request_id};
use crate::metrics::catalogue;
use crate::protocol::{
    AnswerAcknowledgement, AnswerEvent, AnswerFrame, AnswerHead, AnswerReader, AnswerRequest,
    CancelRequest, PeerClient, PeerError, RunFailure, RunRefusal, RunState,
};

/// Interval, in bytes, at which received data is acknowledged so that the agent can free it.
const ACKNOWLEDGE_INTERVAL_BYTES: u64 = 128 << 10;

/// Consecutive connections without a frame after which the agent is considered lost.
const MAX_IDLE_ATTEMPTS: u32 = 4;

/// Pause before a new connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Reason why an answer cannot be completed.
#[derive(Debug, Display, Error)]
pub enum RelayFailure {
    /// The agent did not run the request.
    #[display("refused: {_0}")]
    #[error(ignore)]
    Refused(RunRefusal),
    /// The agent reported that the run failed.
    #[display("the run failed: {failure}: {reason}")]
    Failed {
        /// Kind of failure.
        failure: RunFailure,
        /// Description of the cause.
        reason: String,
        /// Whether the upstream may have run the request.
        run_state: RunState,
    },
    /// The agent cannot be reached or does not know the request.
    #[display("lost the agent: {cause}")]
    AgentLost {
        /// The last error.
        cause: String,
    },
}

/// Part of the answer for the caller.
#[derive(Debug)]
pub enum RelayEvent {
    /// Status and headers.
    Head(AnswerHead),
    /// Body bytes.
    Data(Bytes),
    /// The answer is complete.
    End,
}

/// Relay of one attempt's answer.
pub struct AnswerRelay {
    context: Arc<RouterContext>,
    client: PeerClient,
    request: RequestId,
    attempt: AttemptId,
    address: SocketAddr,
    reader: Option<AnswerReader>,
    offset: u64,
    acknowledged: u64,
    idle_attempts: u32,
    complete: bool,
}

impl AnswerRelay {
    /// Creates a relay for a request that was granted to the agent at `address`.
    pub fn new(
        context: Arc<RouterContext>,
        request: RequestId,
        attempt: AttemptId,
        address: SocketAddr,
    ) -> Self {
        let client = context.peers.clone();
        Self {
            context,
            client,
            request,
            attempt,
            address,
            reader: None,
            offset: 0,
            acknowledged: 0,
            idle_attempts: 0,
            complete: false,
        }
    }

    /// Waits for the next event of the answer.
    pub async fn next_event(&mut self) -> Result<RelayEvent, RelayFailure> {
        let progress_timeout = self.context.settings.limits.progress_timeout;
        loop {
            let next = tokio::time::timeout(progress_timeout, self.next_frame()).await;
            match next {
                Ok(Ok(frame)) => {
                    self.idle_attempts = 0;
                    if let Some(event) = self.handle_frame(frame)? {
                        return Ok(event);
                    }
                }
                Ok(Err(PeerError::Status { status: StatusCode::NOT_FOUND, .. })) => {
                    let cause = "the agent does not know the request".to_owned();
                    return Err(RelayFailure::AgentLost { cause });
                }
                Ok(Err(error)) => self.reconnect(error.to_string()).await?,
                Err(_) => self.reconnect(format!("silent for {progress_timeout:?}")).await?,
            }
        }
    }

    async fn next_frame(&mut self) -> Result<AnswerFrame, PeerError> {
        let reader = match &mut self.reader {
            Some(reader) => reader,
            None => {
                let (request, attempt, offset) = (self.request, self.attempt, self.offset);
                let attach = AnswerRequest { request, attempt, offset };
                let response = self.client.open(self.address, &attach).await?;
                let reader = AnswerReader::new(self.address, self.request, response.into_body());
                self.reader.insert(reader)
            }
        };
        let ended_early = || PeerError::Lost {
            address: self.address,
            cause: "the stream ended before the end of the answer".to_owned(),
        };
        reader.next_frame().await?.ok_or_else(ended_early)
    }

    /// Drops the connection and pauses, so that the next read opens a new one. Fails when too many
    /// connections in a row brought no frame.
    async fn reconnect(&mut self, cause: String) -> Result<(), RelayFailure> {
        self.reader = None;
        self.idle_attempts += 1;
        if self.idle_attempts >= MAX_IDLE_ATTEMPTS {
            return Err(RelayFailure::AgentLost { cause });
        }
        let request = format_request_id(self.request);
        log::info!(request, address:% = self.address; "resuming the answer on a new connection: {cause}");
        self.context.metrics.count(&catalogue::ROUTER_REATTACHMENTS, 1, &[]);
        self.client = self.context.peers.with_new_connections();
        tokio::time::sleep(RECONNECT_PAUSE).await;
        Ok(())
    }

    fn handle_frame(&mut self, frame: AnswerFrame) -> Result<Option<RelayEvent>, RelayFailure> {
        match frame.event {
            AnswerEvent::Head(head) => Ok(Some(RelayEvent::Head(head))),
            AnswerEvent::Data(bytes) => Ok(self.handle_data(frame.offset, bytes)),
            AnswerEvent::Heartbeat => Ok(None),
            AnswerEvent::End => {
                self.complete = true;
                self.acknowledge();
                Ok(Some(RelayEvent::End))
            }
            AnswerEvent::Refused(refusal) => {
                self.complete = true;
                self.acknowledge();
                Err(RelayFailure::Refused(refusal))
            }
            AnswerEvent::Failed { failure, reason, run_state } => {
                self.complete = true;
                self.acknowledge();
                Err(RelayFailure::Failed { failure, reason, run_state })
            }
        }
    }

    /// Skips bytes that an earlier connection has delivered.
    fn handle_data(&mut self, offset: u64, bytes: Bytes) -> Option<RelayEvent> {
        let overlap = usize::try_from(self.offset.saturating_sub(offset)).unwrap_or(usize::MAX);
        if overlap >= bytes.len() {
            return None;
        }
        let new_bytes = bytes.slice(overlap..);
        self.offset += new_bytes.len() as u64;
        if self.offset - self.acknowledged >= ACKNOWLEDGE_INTERVAL_BYTES {
            self.acknowledge();
        }
        Some(RelayEvent::Data(new_bytes))
    }

    fn acknowledge(&mut self) {
        self.acknowledged = self.offset;
        let acknowledgement = AnswerAcknowledgement {
            request: self.request,
            attempt: self.attempt,
            offset: self.offset,
            complete: self.complete,
        };
        let (client, address) = (self.client.clone(), self.address);
        tokio::spawn(async move {
            // If this is lost, the agent frees the buffer after its retention time.
            if let Err(error) = client.call(address, &acknowledgement).await {
                log::debug!(address:% = address; "acknowledgement was not delivered: {error}");
            }
        });
    }
}

impl Drop for AnswerRelay {
    fn drop(&mut self) {
        if self.complete {
            return;
        }
        let cancel = CancelRequest { request: self.request, attempt: self.attempt };
        let (client, address) = (self.client.clone(), self.address);
        tokio::spawn(async move {
            if let Err(error) = client.call(address, &cancel).await {
                log::debug!(address:% = address; "cancellation was not delivered: {error}");
            }
        });
    }
}

//! Forwards the bytes of a connection in one direction.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use super::rules::{LinkDirection, LinkRules};
use crate::ids::ConnectionNumber;

/// Size of the buffer that is reserved for each read.
const CHUNK_BYTES: usize = 16 << 10;

/// Largest number of delayed chunks; reading pauses while the queue is full.
const CHUNK_QUEUE: usize = 256;

/// Forwards bytes from `reader` to `writer` as the rules of the link say.
pub(super) struct DirectionPump {
    pub(super) connection: ConnectionNumber,
    pub(super) direction: LinkDirection,
    pub(super) rules: watch::Receiver<LinkRules>,
    pub(super) forwarded: Arc<AtomicU64>,
}

struct DelayedChunk {
    content: Bytes,
    due: Instant,
}

impl DirectionPump {
    /// Forwards bytes until the reader ends, which shuts the writer down, or either side fails,
    /// which is returned as an error.
    pub(super) async fn run(
        self,
        reader: ReadHalf<'_>,
        writer: WriteHalf<'_>,
    ) -> std::io::Result<()> {
        let (chunks_tx, chunks_rx) = mpsc::channel(CHUNK_QUEUE);
        let reading = self.read(reader, chunks_tx);
        let writing = self.write(writer, chunks_rx);
        tokio::try_join!(reading, writing).map(|_| ())
    }

    async fn read(
        &self,
        mut reader: ReadHalf<'_>,
        chunks: mpsc::Sender<DelayedChunk>,
    ) -> std::io::Result<()> {
        let mut buffer = BytesMut::new();
        loop {
            buffer.reserve(CHUNK_BYTES);
            if reader.read_buf(&mut buffer).await? == 0 {
                return Ok(());
            }
            let delay = self.rules.borrow().delay(self.connection, self.direction);
            let chunk =
                DelayedChunk { content: buffer.split().freeze(), due: Instant::now() + delay };
            if chunks.send(chunk).await.is_err() {
                return Ok(());
            }
        }
    }

    async fn write(
        &self,
        mut writer: WriteHalf<'_>,
        mut chunks: mpsc::Receiver<DelayedChunk>,
    ) -> std::io::Result<()> {
        while let Some(chunk) = chunks.recv().await {
            if chunk.due > Instant::now() {
                sleep_until(chunk.due).await;
            }
            self.wait_unfrozen().await;
            writer.write_all(&chunk.content).await?;
            self.forwarded.fetch_add(chunk.content.len() as u64, Ordering::Relaxed);
        }
        // A frozen link does not forward the end of the stream either.
        self.wait_unfrozen().await;
        writer.shutdown().await
    }

    async fn wait_unfrozen(&self) {
        let mut rules = self.rules.clone();
        let frozen = |rules: &LinkRules| rules.freezes(self.connection, self.direction);
        let link_removed = rules.wait_for(|rules| !frozen(rules)).await.is_err();
        if link_removed {
            // The link was removed; the task of this connection is about to be dropped.
            std::future::pending::<()>().await;
        }
    }
}

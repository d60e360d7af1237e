//! The thread that owns a process's mutable control state.

use std::future::Future;
use std::sync::Arc;

use eyre::WrapErr;
use tokio::sync::{Mutex, OwnedMutexGuard, mpsc, oneshot};

/// Receiving end of the control channel.
///
/// The channel outlives the control thread: after a panic the restarted thread takes over the
/// receiver, and senders are not affected. A running thread holds the lock until it ends.
pub struct ControlInbox<E> {
    receiver: Arc<Mutex<mpsc::Receiver<E>>>,
}

impl<E> Clone for ControlInbox<E> {
    fn clone(&self) -> Self {
        Self { receiver: Arc::clone(&self.receiver) }
    }
}

impl<E> ControlInbox<E> {
    /// Creates a control channel that buffers up to `capacity` events.
    pub fn bounded(capacity: usize) -> (mpsc::Sender<E>, Self) {
        let (sender, receiver) = mpsc::channel(capacity);
        (sender, Self { receiver: Arc::new(Mutex::new(receiver)) })
    }

    /// Locks the receiver, once no other control thread holds it.
    pub async fn acquire(&self) -> OwnedMutexGuard<mpsc::Receiver<E>> {
        Arc::clone(&self.receiver).lock_owned().await
    }
}

/// Runs `control` on a dedicated OS thread with a current-thread runtime.
///
/// Returns when the control future ends. A panic of the thread is returned as an error, so that
/// the supervisor restarts it.
pub async fn run_control_thread<F>(
    name: &'static str,
    control: impl FnOnce() -> F + Send + 'static,
) -> eyre::Result<()>
where
    F: Future<Output = ()>,
{
    let (done_tx, done_rx) = oneshot::channel();
    let builder = std::thread::Builder::new().name(name.to_owned());
    builder
        .spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let outcome = runtime
                .map(|runtime| runtime.block_on(control()))
                .wrap_err("cannot build the control runtime");
            // The receiver is gone if the supervisor has aborted the waiting child.
            let _ = done_tx.send(outcome);
        })
        .wrap_err_with(|| format!("cannot start control thread {name}"))?;
    done_rx.await.map_err(|_| eyre::eyre!("control thread {name} panicked"))?
}

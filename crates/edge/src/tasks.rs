//! Tasks without which the agent can't do its work.
//!
//! Such a task never returns. If one ends all the same, for example by a panic, the agent ends too and is
//! started again, since an agent that runs on without it would serve by ever older records.

use std::future::Future;

use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;

/// Starts tasks and reports the names of those that end.
#[derive(Clone, Debug)]
pub struct TaskStarter {
    ended: UnboundedSender<&'static str>,
}

/// Receives the names of tasks that ended.
pub type EndedTasks = UnboundedReceiver<&'static str>;

impl TaskStarter {
    /// Creates a starter and the receiver of its reports.
    #[must_use]
    pub fn new() -> (Self, EndedTasks) {
        let (ended, reports) = mpsc::unbounded_channel();
        (Self { ended }, reports)
    }

    /// Starts a task that is not expected to end.
    pub fn start(&self, name: &'static str, task: impl Future<Output = ()> + 'static) {
        let ended = self.ended.clone();
        let running = actix_rt::spawn(task);
        actix_rt::spawn(async move {
            match running.await {
                Ok(()) => log::error!("task {name} ended"),
                Err(error) => log::error!("task {name} failed: {error}"),
            }
            // The receiver is gone only while the agent shuts down.
            let _is_reported = ended.send(name);
        });
    }
}

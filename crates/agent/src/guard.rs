//! Detects that a caller has disconnected.

/// Calls a function when it is dropped, unless it was disarmed before. It is held by the future that waits for
/// the reply, which is dropped when the caller's connection ends.
pub struct CallerGuard<F: FnOnce()> {
    on_disconnect: Option<F>,
}

impl<F: FnOnce()> CallerGuard<F> {
    /// Creates a guard that calls `on_disconnect` when it is dropped.
    #[must_use]
    pub const fn new(on_disconnect: F) -> Self {
        Self {
            on_disconnect: Some(on_disconnect),
        }
    }

    /// Drops the guard without calling the function, once the request has its reply.
    pub fn disarm(mut self) {
        self.on_disconnect = None;
    }
}

impl<F: FnOnce()> Drop for CallerGuard<F> {
    fn drop(&mut self) {
        if let Some(on_disconnect) = self.on_disconnect.take() {
            on_disconnect();
        }
    }
}

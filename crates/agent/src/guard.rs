//! Notices that a caller no longer waits.

/// Calls a function when it is dropped, unless it was disarmed: the caller's connection ended and
/// the future that waited for its reply is gone.
pub struct CallerGuard<F: FnOnce()> {
    on_gone: Option<F>,
}

impl<F: FnOnce()> CallerGuard<F> {
    /// Guards one request.
    #[must_use]
    pub const fn new(on_gone: F) -> Self {
        Self {
            on_gone: Some(on_gone),
        }
    }

    /// The request was answered.
    pub fn disarm(mut self) {
        self.on_gone = None;
    }
}

impl<F: FnOnce()> Drop for CallerGuard<F> {
    fn drop(&mut self) {
        if let Some(on_gone) = self.on_gone.take() {
            on_gone();
        }
    }
}

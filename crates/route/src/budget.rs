//! A budget of extra sends, as a share of requests.

/// Extra sends that may come at once after a quiet time.
const BURST: f64 = 10.0;

/// Earns a share of an extra send with every request, and spends whole ones.
#[derive(Clone, Copy, Debug)]
pub struct SendBudget {
    share: f64,
    tokens: f64,
}

impl SendBudget {
    /// Makes a budget without tokens.
    #[must_use]
    pub const fn new(share: f64) -> Self {
        Self { share, tokens: 0.0 }
    }

    /// Takes note of a request.
    pub const fn record_request(&mut self) {
        self.tokens = (self.tokens + self.share).min(BURST);
    }

    /// Spends one extra send, if there is one.
    pub fn spend(&mut self) -> bool {
        let is_enough = self.tokens >= 1.0;
        if is_enough {
            self.tokens -= 1.0;
        }
        is_enough
    }
}

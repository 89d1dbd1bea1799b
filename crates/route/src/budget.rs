//! Token bucket that limits extra sends to a share of the requests.

/// Extra sends that may follow each other at once after a period without any.
const MAX_TOKENS: f64 = 10.0;

/// Gains a fraction of a token with every request; each extra send takes a whole token.
#[derive(Clone, Copy, Debug)]
pub struct SendBudget {
    share: f64,
    tokens: f64,
}

impl SendBudget {
    /// Creates a budget without tokens. `share` is the number of tokens gained per request.
    #[must_use]
    pub const fn new(share: f64) -> Self {
        Self { share, tokens: 0.0 }
    }

    /// Adds the tokens gained by one request.
    pub const fn record_request(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_TOKENS);
    }

    /// Takes the token for one extra send. Returns false if there is none.
    pub fn try_spend(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

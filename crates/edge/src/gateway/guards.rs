//! Counts the ends of attempts and of requests whose handling is cancelled.

use std::rc::Rc;

use jy_types::name::Name;

use super::CallerGateway;
use crate::metrics::EdgeMetrics;

/// Counts an attempt as ended on drop, so that cancelled attempts are counted too.
pub(super) struct AttemptGuard {
    pub(super) gateway: Rc<CallerGateway>,
    pub(super) node: Name,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.gateway.endpoints.borrow_mut().record_ended(&self.node);
    }
}

/// Counts a caller that disconnected before its answer, on drop.
pub(super) struct DisconnectGuard {
    pub(super) metrics: Rc<EdgeMetrics>,
    pub(super) is_answered: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.is_answered {
            self.metrics.gone.inc();
        }
    }
}

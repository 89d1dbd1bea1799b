//! Tests of agents as processes of their own: what their callers get.

mod broken_responses;
mod fleet;
mod leaving;
mod services;
mod stops;

//! Tests that the work of a request is dropped when its caller disconnects.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use actix_rt::net::TcpListener;
use googletest::prelude::*;
use jy_agent::http::Answer;
use jy_agent::http::ConnectionDrain;
use jy_agent::http::serve;
use jy_config::agent::LimitSettings;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

/// The test fails if the handler is not dropped within this time, in seconds.
const DROP_TIMEOUT_S: u64 = 30;

/// Notifies when it is dropped.
struct DropSignal(Rc<Notify>);

impl Drop for DropSignal {
    fn drop(&mut self) {
        self.0.notify_one();
    }
}

/// Sends a request to a handler that never answers, closes the connection, and returns whether the future of
/// the handler was dropped.
///
/// # Errors
///
/// Returns an error if the listener can't be bound or the connection fails.
async fn disconnect_while_waiting() -> io::Result<bool> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let dropped = Rc::new(Notify::new());
    let started = Rc::new(Notify::new());
    let (on_drop, on_start) = (Rc::clone(&dropped), Rc::clone(&started));
    let handler = move |_: Request| {
        let signal = DropSignal(Rc::clone(&on_drop));
        on_start.notify_one();
        async move {
            let _signal = signal;
            std::future::pending::<Answer>().await
        }
    };
    let limits = LimitSettings::default();
    actix_rt::spawn(serve(listener, limits, ConnectionDrain::new(), handler));
    let mut stream = TcpStream::connect(address).await?;
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .await?;
    started.notified().await;
    drop(stream);
    let drop_timeout = Duration::from_secs(DROP_TIMEOUT_S);
    Ok(timeout(drop_timeout, dropped.notified()).await.is_ok())
}

#[gtest]
fn serve_caller_disconnects_drops_handler() {
    let dropped = actix_rt::System::new().block_on(disconnect_while_waiting());
    expect_that!(dropped, ok(eq(&true)));
}

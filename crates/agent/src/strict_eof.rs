//! Client connections that report end of file and malformed heads as errors.
//!
//! The HTTP client treats the end of a connection as the end of a body, even if the declared length has not
//! been reached or the last chunk is missing. These connections return an error at end of file, so that a
//! truncated answer is never treated as complete. The client also tolerates heads that differ from what HTTP
//! defines; they are checked here, since nothing of their text is left behind it.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use actix_http::Uri;
use actix_rt::net::ActixStream;
use actix_rt::net::Ready;
use actix_rt::net::TcpStream;
use actix_service::Service;
use actix_service::fn_service;
use actix_tls::connect::ConnectError;
use actix_tls::connect::ConnectInfo;
use actix_tls::connect::Connection;
use actix_tls::connect::ConnectorService;
use jy_http::head_syntax::check_head;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// A TCP stream that returns [`io::ErrorKind::UnexpectedEof`] to the reader at end of file, and
/// [`io::ErrorKind::InvalidData`] in a malformed head.
#[derive(Debug)]
pub struct StrictEofStream {
    stream: TcpStream,
    /// What was received of the head of an answer; `None` once the head is complete.
    head: Option<Vec<u8>>,
}

impl StrictEofStream {
    /// Creates a stream on which no request has been sent.
    const fn new(stream: TcpStream) -> Self {
        Self { stream, head: None }
    }

    /// Checks the head of an answer of which `bytes` were received.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is malformed.
    fn check_received(&mut self, bytes: &[u8]) -> io::Result<()> {
        let Some(head) = &mut self.head else {
            return Ok(());
        };
        head.extend_from_slice(bytes);
        let is_complete = check_head(head)
            .map_err(|cause| io::Error::new(io::ErrorKind::InvalidData, &*cause))?;
        if is_complete {
            self.head = None;
        }
        Ok(())
    }
}

/// Returns a connector that opens [`StrictEofStream`]s.
pub fn connector()
-> impl Service<ConnectInfo<Uri>, Response = Connection<Uri, StrictEofStream>, Error = ConnectError>
+ Clone {
    fn_service(|info: ConnectInfo<Uri>| async move {
        let connection = ConnectorService::default().call(info).await?;
        let (stream, uri) = connection.into_parts();
        Ok(Connection::new(uri, StrictEofStream::new(stream)))
    })
}

impl AsyncRead for StrictEofStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if has_room && buffer.filled().len() == filled_before {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(self.check_received(&buffer.filled()[filled_before..]))
    }
}

impl AsyncWrite for StrictEofStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        // The next bytes that are received begin the answer to this request, which is written before they are read.
        self.head.get_or_insert_default();
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for StrictEofStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}

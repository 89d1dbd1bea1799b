//! Connections on which an answer that is cut short is an error.
//!
//! The HTTP client takes the end of a connection for the end of a body, whatever length or last
//! chunk is missing. Here the end of a connection is an error, so that a cut answer is never taken
//! for a whole one.

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
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// A TCP connection whose end is an error for the reader.
#[derive(Debug)]
pub struct StrictEofStream(TcpStream);

/// Makes connections whose end is an error for the reader.
pub fn connector()
-> impl Service<ConnectInfo<Uri>, Response = Connection<Uri, StrictEofStream>, Error = ConnectError>
+ Clone {
    fn_service(|info: ConnectInfo<Uri>| async move {
        let connection = ConnectorService::default().call(info).await?;
        let (stream, uri) = connection.into_parts();
        Ok(Connection::new(uri, StrictEofStream(stream)))
    })
}

impl AsyncRead for StrictEofStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let room = buffer.remaining() > 0;
        ready!(Pin::new(&mut self.0).poll_read(cx, buffer))?;
        if room && buffer.filled().len() == before {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for StrictEofStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl ActixStream for StrictEofStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, cx)
    }
}

//! A TCP relay on loopback whose open connections can go silent for good while new ones work.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::sleep;

const BUFFER_BYTES: usize = 16 * 1024;
const POLL_MS: u64 = 5;
/// How long a silent connection is kept open, in milliseconds: longer than any run.
const SILENT_MS: u64 = 600_000;

/// A relay that forwards connections to one server.
pub struct Link {
    /// Connections that were opened in an earlier generation forward nothing.
    generation: Cell<u64>,
}

impl Link {
    /// Listens on `address` and forwards each connection to `target`.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn serve(address: SocketAddr, target: SocketAddr) -> std::io::Result<Rc<Self>> {
        let link = Rc::new(Self {
            generation: Cell::new(0),
        });
        let listener = TcpListener::bind(address).await?;
        let acceptor = Rc::clone(&link);
        actix_rt::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let link = Rc::clone(&acceptor);
                actix_rt::spawn(async move { link.forward_connection(client, target).await });
            }
        });
        Ok(link)
    }

    /// Makes all open connections silent for good, without a reset. New ones work.
    pub fn silence_open_connections(&self) {
        self.generation.set(self.generation.get() + 1);
    }

    /// Forwards one connection until either side closes it.
    async fn forward_connection(self: Rc<Self>, client: TcpStream, target: SocketAddr) {
        let opened_in = self.generation.get();
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        let _nodelay = (client.set_nodelay(true), server.set_nodelay(true));
        let (client_reader, client_writer) = client.into_split();
        let (server_reader, server_writer) = server.into_split();
        tokio::select! {
            () = self.forward(opened_in, client_reader, server_writer) => {}
            () = self.forward(opened_in, server_reader, client_writer) => {}
        }
    }

    /// Forwards one direction until it ends. A silent connection neither forwards nor closes.
    async fn forward(&self, opened_in: u64, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut buffer = vec![0_u8; BUFFER_BYTES];
        loop {
            let read = tokio::select! {
                read = from.read(&mut buffer) => read,
                () = self.wait_until_silent(opened_in) => Ok(0),
            };
            if self.generation.get() != opened_in {
                sleep(Duration::from_millis(SILENT_MS)).await;
                return;
            }
            let Ok(count @ 1..) = read else {
                return;
            };
            if to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }

    /// Waits until connections of a generation are silent.
    async fn wait_until_silent(&self, opened_in: u64) {
        while self.generation.get() == opened_in {
            sleep(Duration::from_millis(POLL_MS)).await;
        }
    }
}

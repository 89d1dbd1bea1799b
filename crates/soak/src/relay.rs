//! A TCP relay on loopback that injects link faults between two processes.

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

const MODE_POLL_INTERVAL_MS: u64 = 10;
const BUFFER_BYTES: usize = 16 * 1024;

/// How a link treats the data of its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards data at once.
    Open,
    /// Forwards data after this many milliseconds.
    Delayed(u64),
    /// Holds data back in both directions and keeps connections open.
    Silent,
    /// Holds back data from the server to the client only.
    OneWay,
    /// Closes every connection.
    Reset,
}

/// A relay that forwards connections to one server.
pub struct LinkRelay {
    mode: Cell<LinkMode>,
}

impl LinkRelay {
    /// Listens on `address` and forwards each connection to `target`.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn serve(address: SocketAddr, target: SocketAddr) -> std::io::Result<Rc<Self>> {
        let relay = Rc::new(Self {
            mode: Cell::new(LinkMode::Open),
        });
        let listener = TcpListener::bind(address).await?;
        let acceptor = Rc::clone(&relay);
        actix_rt::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let relay = Rc::clone(&acceptor);
                actix_rt::spawn(async move { relay.forward_connection(client, target).await });
            }
        });
        Ok(relay)
    }

    /// Sets the mode of all connections, open and new.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.set(mode);
    }

    /// Forwards one connection until either side closes it or the link is reset.
    async fn forward_connection(self: Rc<Self>, client: TcpStream, target: SocketAddr) {
        self.wait_while_held(false).await;
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        let (client_reader, client_writer) = client.into_split();
        let (server_reader, server_writer) = server.into_split();
        let reset = async {
            while self.mode.get() != LinkMode::Reset {
                sleep(Duration::from_millis(MODE_POLL_INTERVAL_MS)).await;
            }
        };
        tokio::select! {
            () = self.forward(client_reader, server_writer, false) => {}
            () = self.forward(server_reader, client_writer, true) => {}
            () = reset => {}
        }
    }

    /// Forwards one direction of a connection until it ends.
    async fn forward(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, from_server: bool) {
        let mut buffer = vec![0_u8; BUFFER_BYTES];
        while let Ok(read @ 1..) = from.read(&mut buffer).await {
            if let LinkMode::Delayed(delay_ms) = self.mode.get() {
                sleep(Duration::from_millis(delay_ms)).await;
            }
            self.wait_while_held(from_server).await;
            if to.write_all(&buffer[..read]).await.is_err() {
                return;
            }
        }
    }

    /// Waits while the link holds back data of this direction.
    async fn wait_while_held(&self, from_server: bool) {
        loop {
            let is_held = match self.mode.get() {
                LinkMode::Silent => true,
                LinkMode::OneWay => from_server,
                LinkMode::Open | LinkMode::Delayed(_) | LinkMode::Reset => false,
            };
            if !is_held {
                return;
            }
            sleep(Duration::from_millis(MODE_POLL_INTERVAL_MS)).await;
        }
    }
}

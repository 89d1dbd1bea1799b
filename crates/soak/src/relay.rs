//! A relay on loopback between two processes, with faults on demand.

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

/// Time between looks at whether a held link goes on, in milliseconds.
const HOLD_LOOK_MS: u64 = 10;
/// Bytes passed on at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// What a link does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// It passes everything on.
    Open,
    /// It passes everything on after some milliseconds.
    Delayed(u64),
    /// It holds everything back, in both directions, without a sign.
    Silent,
    /// It holds back what comes from the server.
    OneWay,
    /// It ends every connection.
    Reset,
}

/// A relay to one server.
pub struct LinkRelay {
    mode: Cell<LinkMode>,
}

impl LinkRelay {
    /// Serves a relay to `target` at an address.
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
                actix_rt::spawn(async move { relay.connection(client, target).await });
            }
        });
        Ok(relay)
    }

    /// Sets what the link does.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.set(mode);
    }

    /// Passes one connection on until it ends.
    async fn connection(self: Rc<Self>, client: TcpStream, target: SocketAddr) {
        self.wait_open(false).await;
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        let (client_reader, client_writer) = client.into_split();
        let (server_reader, server_writer) = server.into_split();
        let reset = async {
            while self.mode.get() != LinkMode::Reset {
                sleep(Duration::from_millis(HOLD_LOOK_MS)).await;
            }
        };
        tokio::select! {
            () = self.pass(client_reader, server_writer, false) => {}
            () = self.pass(server_reader, client_writer, true) => {}
            () = reset => {}
        }
    }

    /// Passes one direction on until it ends.
    async fn pass(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, is_answer: bool) {
        let mut chunk = vec![0_u8; CHUNK_BYTES];
        while let Ok(read @ 1..) = from.read(&mut chunk).await {
            if let LinkMode::Delayed(delay_ms) = self.mode.get() {
                sleep(Duration::from_millis(delay_ms)).await;
            }
            self.wait_open(is_answer).await;
            if to.write_all(&chunk[..read]).await.is_err() {
                return;
            }
        }
    }

    /// Waits while the link holds a direction back.
    async fn wait_open(&self, is_answer: bool) {
        loop {
            let is_held = match self.mode.get() {
                LinkMode::Silent => true,
                LinkMode::OneWay => is_answer,
                LinkMode::Open | LinkMode::Delayed(_) | LinkMode::Reset => false,
            };
            if !is_held {
                return;
            }
            sleep(Duration::from_millis(HOLD_LOOK_MS)).await;
        }
    }
}

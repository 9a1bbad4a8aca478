//! TCP connections and listeners on the event loop. Tests can replace them by in-memory connections.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use calloop::io::Async;
use socket2::{Domain, Protocol, Socket, Type};

use super::Runtime;
#[cfg(test)]
use super::in_memory_network;

/// The Linux `errno` value which says that a non-blocking socket is still connecting.
const EINPROGRESS: i32 = 115;

impl Runtime {
    fn register<F: std::os::fd::AsFd>(&self, socket: F) -> io::Result<Async<'static, F>> {
        self.0.handle.adapt_io(socket).map_err(io::Error::other)
    }

    /// Opens a connection to `address`. Sets no time limit: see [`Runtime::timeout`].
    pub async fn connect(&self, address: SocketAddr) -> io::Result<Stream> {
        #[cfg(test)]
        if let Some(network) = &self.0.network {
            self.sleep(network.delay_s(address)).await;
            return network
                .connect(address)
                .map(|endpoint| Stream(Connection::InMemory(endpoint)));
        }
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_nonblocking(true)?;
        match socket.connect(&address.into()) {
            Ok(()) => {}
            Err(e) if e.raw_os_error() == Some(EINPROGRESS) => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        let mut io = self.register(TcpStream::from(socket))?;
        io.writable().await;
        if let Some(e) = io.get_mut().take_error()? {
            return Err(e);
        }
        // A refused connection also makes the socket writable; `peer_addr` then fails.
        io.get_mut().peer_addr()?;
        io.get_mut().set_nodelay(true)?;
        Ok(Stream(Connection::Tcp(io)))
    }

    /// Opens a listener at `address`; port 0 selects a free port.
    pub fn listen(&self, address: SocketAddr) -> io::Result<Listener> {
        #[cfg(test)]
        if let Some(network) = &self.0.network {
            return Ok(Listener(ListenerKind::InMemory(network.listen(address)?)));
        }
        let io = self.register(TcpListener::bind(address)?)?;
        Ok(Listener(ListenerKind::Tcp(io, self.clone())))
    }
}

/// An open connection, over TCP or in memory. Dropping it closes the connection.
pub struct Stream(Connection);

enum Connection {
    Tcp(Async<'static, TcpStream>),
    #[cfg(test)]
    InMemory(in_memory_network::Endpoint),
}

impl Stream {
    /// Waits for bytes and reads them into `buf`; returns their number, or 0 at the end of the stream.
    pub async fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        match &mut self.0 {
            Connection::Tcp(io) => loop {
                match io.get_mut().read(buf) {
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => io.readable().await,
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    result => return result,
                }
            },
            #[cfg(test)]
            Connection::InMemory(endpoint) => Ok(endpoint.read(buf).await),
        }
    }

    /// Waits until there are bytes to read or the stream has ended.
    pub async fn readable(&mut self) {
        match &mut self.0 {
            Connection::Tcp(io) => io.readable().await,
            #[cfg(test)]
            Connection::InMemory(endpoint) => endpoint.readable().await,
        }
    }

    /// Writes all of `bytes`.
    pub async fn write_all(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        match &mut self.0 {
            Connection::Tcp(io) => {
                while !bytes.is_empty() {
                    match io.get_mut().write(bytes) {
                        Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                        Ok(count) => bytes = &bytes[count..],
                        Err(e) if e.kind() == io::ErrorKind::WouldBlock => io.writable().await,
                        Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                        Err(e) => return Err(e),
                    }
                }
                Ok(())
            }
            #[cfg(test)]
            Connection::InMemory(endpoint) => endpoint.write(bytes),
        }
    }

    /// Whether an idle connection can be reused: the peer has not closed it, and there are no unexpected bytes to read.
    /// The check of a TCP connection may consume such a byte, so a connection that is not reusable must be dropped.
    pub fn is_reusable(&mut self) -> bool {
        match &mut self.0 {
            Connection::Tcp(io) => {
                let read = io.get_mut().read(&mut [0]);
                matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
            }
            #[cfg(test)]
            Connection::InMemory(endpoint) => endpoint.is_reusable(),
        }
    }
}

/// A listener for connections, over TCP or in memory.
pub struct Listener(ListenerKind);

enum ListenerKind {
    Tcp(Async<'static, TcpListener>, Runtime),
    #[cfg(test)]
    InMemory(in_memory_network::InMemoryListener),
}

impl Listener {
    /// The address of the listener, with the port that was selected for port 0.
    #[cfg(test)]
    pub fn addr(&mut self) -> io::Result<SocketAddr> {
        match &mut self.0 {
            ListenerKind::Tcp(io, _) => io.get_mut().local_addr(),
            #[cfg(test)]
            ListenerKind::InMemory(listener) => Ok(listener.addr),
        }
    }

    /// Waits for the next connection and accepts it.
    pub async fn accept(&mut self) -> io::Result<Stream> {
        let (io, runtime) = match &mut self.0 {
            ListenerKind::Tcp(io, runtime) => (io, runtime),
            #[cfg(test)]
            ListenerKind::InMemory(listener) => {
                return Ok(Stream(Connection::InMemory(listener.accept().await)));
            }
        };
        loop {
            match io.get_mut().accept() {
                Ok((stream, _)) => {
                    let mut io = runtime.register(stream)?;
                    io.get_mut().set_nodelay(true)?;
                    return Ok(Stream(Connection::Tcp(io)));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => io.readable().await,
                Err(e) => return Err(e),
            }
        }
    }
}

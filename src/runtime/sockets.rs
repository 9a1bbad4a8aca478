//! TCP connections and listeners of the event loop; in tests connections in memory take their place.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use calloop::io::Async;
use socket2::{Domain, Protocol, Socket, Type};

use super::Runtime;
#[cfg(test)]
use super::in_memory_network;

/// Error code of Linux for a connection that is being opened (`errno`).
const EINPROGRESS: i32 = 115;

impl Runtime {
    fn register<F: std::os::fd::AsFd>(&self, socket: F) -> io::Result<Async<'static, F>> {
        self.0.handle.adapt_io(socket).map_err(io::Error::other)
    }

    /// Opens a connection.
    pub async fn connect(&self, to: SocketAddr) -> io::Result<Stream> {
        #[cfg(test)]
        if let Some(network) = &self.0.network {
            self.sleep(network.delay_s(to)).await;
            return network
                .connect(to)
                .map(|end| Stream(Connection::InMemory(end)));
        }
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
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
        // A socket that is writable without being connected was refused.
        io.get_mut().peer_addr()?;
        io.get_mut().set_nodelay(true)?;
        Ok(Stream(Connection::Tcp(io)))
    }

    /// Listens at an address.
    pub fn listen(&self, at: SocketAddr) -> io::Result<Listener> {
        #[cfg(test)]
        if let Some(network) = &self.0.network {
            return Ok(Listener(Backlog::InMemory(network.listen(at)?)));
        }
        let io = self.register(TcpListener::bind(at)?)?;
        Ok(Listener(Backlog::Tcp(io, self.clone())))
    }
}

/// A connection.
pub struct Stream(Connection);

enum Connection {
    Tcp(Async<'static, TcpStream>),
    #[cfg(test)]
    InMemory(in_memory_network::Endpoint),
}

impl Stream {
    /// Reads some bytes; 0 at the end of the stream.
    pub async fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        match &mut self.0 {
            Connection::Tcp(io) => loop {
                match io.get_mut().read(buf) {
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => io.readable().await,
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    done => return done,
                }
            },
            #[cfg(test)]
            Connection::InMemory(end) => Ok(end.read(buf).await),
        }
    }

    /// Waits for bytes to read, or the end of the stream.
    pub async fn readable(&mut self) {
        match &mut self.0 {
            Connection::Tcp(io) => io.readable().await,
            #[cfg(test)]
            Connection::InMemory(end) => end.readable().await,
        }
    }

    /// Writes all bytes.
    pub async fn write_all(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        match &mut self.0 {
            Connection::Tcp(io) => {
                while !bytes.is_empty() {
                    match io.get_mut().write(bytes) {
                        Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                        Ok(n) => bytes = &bytes[n..],
                        Err(e) if e.kind() == io::ErrorKind::WouldBlock => io.writable().await,
                        Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                        Err(e) => return Err(e),
                    }
                }
                Ok(())
            }
            #[cfg(test)]
            Connection::InMemory(end) => end.write(bytes),
        }
    }

    /// Whether an idle connection can be used again: it is open, and there is nothing unexpected to read.
    pub fn is_reusable(&mut self) -> bool {
        match &mut self.0 {
            Connection::Tcp(io) => {
                let read = io.get_mut().read(&mut [0]);
                matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
            }
            #[cfg(test)]
            Connection::InMemory(end) => end.is_reusable(),
        }
    }
}

/// A listening socket.
pub struct Listener(Backlog);

enum Backlog {
    Tcp(Async<'static, TcpListener>, Runtime),
    #[cfg(test)]
    InMemory(in_memory_network::Backlog),
}

impl Listener {
    /// The address at which it listens.
    #[cfg(test)]
    pub fn addr(&mut self) -> io::Result<SocketAddr> {
        match &mut self.0 {
            Backlog::Tcp(io, _) => io.get_mut().local_addr(),
            #[cfg(test)]
            Backlog::InMemory(backlog) => Ok(backlog.addr),
        }
    }

    /// The next connection.
    pub async fn accept(&mut self) -> io::Result<Stream> {
        let (io, runtime) = match &mut self.0 {
            Backlog::Tcp(io, runtime) => (io, runtime),
            #[cfg(test)]
            Backlog::InMemory(backlog) => {
                return Ok(Stream(Connection::InMemory(backlog.accept().await)));
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

//! A client of the gateways.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::http::{read_message, Message};

pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    /// Opens a connection within the second that clients allow for it.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self { stream })
    }

    pub fn send(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if method != "GET" {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend(body);
        self.stream.write_all(&bytes)
    }

    /// Reads the response. An error of kind `WouldBlock` or `TimedOut` if it does not begin in time.
    pub fn receive(&mut self, max_wait: Duration) -> io::Result<Message> {
        self.stream.set_read_timeout(Some(max_wait))?;
        read_message(&mut self.stream)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

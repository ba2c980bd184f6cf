//! The little of HTTP/1.1 that the stand-ins need.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// A request or a response: first line, headers with names in lower case, and body.
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
        pairs.find(|it| it.0 == name).map(|it| it.1.to_owned())
    }
}

/// Reads one message whose body has a length or chunks, or none. `None` if the connection ends
/// before its first byte.
pub fn read_message(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return if head.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.lines();
    let start = lines.next().unwrap_or("").to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|it| it.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let mut message = Message { start, headers, body: Vec::new() };
    if message.header("transfer-encoding") == Some("chunked") {
        message.body = read_chunks(stream)?;
    } else {
        let length = message.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        stream.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_chunks(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(stream)?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        if size == 0 {
            while !read_line(stream)?.is_empty() {}
            return Ok(body);
        }
        let mut chunk = vec![0; size];
        stream.read_exact(&mut chunk)?;
        body.extend(chunk);
        read_line(stream)?;
    }
}

fn read_line(stream: &mut TcpStream) -> io::Result<String> {
    let mut line = Vec::new();
    let mut byte = [0];
    loop {
        stream.read_exact(&mut byte)?;
        match byte[0] {
            b'\n' => return Ok(String::from_utf8_lossy(&line).trim_end().to_owned()),
            other => line.push(other),
        }
    }
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}

//! Small HTTP/1.1 client and server over one connection, so that a case controls each connection.

use std::io::{Error, ErrorKind, Result};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// A request or response: its first line, headers in lower case, and body.
#[derive(Clone, Debug)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the first line: a response's status, or a request's path.
    pub fn second_word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }

    /// Whether the sender closes the connection after this message.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads a message with a `content-length`. `None` if the connection ends before the first byte.
pub async fn read_message(stream: &mut TcpStream) -> Result<Option<Message>> {
    let mut bytes: Vec<u8> = Vec::new();
    let mut buffer = [0_u8; 16 << 10];
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first_line = lines.next().unwrap_or_default().to_owned();
            let headers: Vec<(String, String)> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            let mut message = Message { first_line, headers, body: bytes.split_off(end + 4) };
            let length =
                message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            while message.body.len() < length {
                let count = stream.read(&mut buffer).await?;
                if count == 0 {
                    return Err(Error::from(ErrorKind::UnexpectedEof));
                }
                message.body.extend_from_slice(&buffer[..count]);
            }
            return Ok(Some(message));
        }
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            let is_clean = bytes.is_empty();
            return if is_clean { Ok(None) } else { Err(Error::from(ErrorKind::UnexpectedEof)) };
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
}

/// Writes a request.
pub async fn write_request(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    host: &str,
    extra: &str,
    body: &[u8],
) -> Result<()> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         {extra}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let bytes = [head.as_bytes(), body].concat();
    stream.write_all(&bytes).await
}

/// Writes a JSON response.
pub async fn write_response(stream: &mut TcpStream, status: u16, body: &[u8]) -> Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let bytes = [head.as_bytes(), body].concat();
    stream.write_all(&bytes).await
}

/// Sends a GET on a connection of its own and returns the status; 0 without a complete response.
pub async fn get_status(addr: std::net::SocketAddr, path: &str) -> u16 {
    get(addr, path).await.map_or(0, |message| message.status())
}

async fn get(addr: std::net::SocketAddr, path: &str) -> Option<Message> {
    let call = async {
        let mut stream = TcpStream::connect(addr).await?;
        write_request(&mut stream, "GET", path, "probe", "", b"").await?;
        read_message(&mut stream).await
    };
    match tokio::time::timeout(std::time::Duration::from_millis(500), call).await {
        Ok(Ok(message)) => message,
        _ => None,
    }
}

/// Whether the other side has closed an idle connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0_u8; 1];
    match stream.try_read(&mut byte) {
        Ok(_) => true,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A message without its body.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Value of a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn has(&self, name: &str) -> bool {
        self.headers
            .iter()
            .any(|(known, _)| known.eq_ignore_ascii_case(name))
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    /// Path of a request, without the query.
    pub fn path(&self) -> &str {
        let target = self.line.split(' ').nth(1).unwrap_or("");
        target.split('?').next().unwrap_or("")
    }

    /// Parameter of a request's query; empty if it is missing.
    pub fn param(&self, name: &str) -> String {
        let target = self.line.split(' ').nth(1).unwrap_or("");
        let query = target.split_once('?').map_or("", |(_, query)| query);
        for pair in query.split('&') {
            if let Some((known, value)) = pair.split_once('=') {
                if known == name {
                    return decoded(value);
                }
            }
        }
        String::new()
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            if let Ok(byte) = u8::from_str_radix(&text[at + 1..at + 3], 16) {
                out.push(byte);
                at += 3;
                continue;
            }
        }
        out.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if head.line.is_empty() {
            head.line = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body with a length or in chunks; of a response without either, up to the end of the
/// connection. `Err` if it ends early.
pub fn read_body(reader: &mut impl BufRead, head: &Head, is_request: bool) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    read_body_into(reader, head, is_request, &mut body)?;
    Ok(body)
}

/// Like [`read_body`], keeping what has arrived before a failure.
pub fn read_body_into(
    reader: &mut impl BufRead,
    head: &Head,
    is_request: bool,
    body: &mut Vec<u8>,
) -> Result<()> {
    if head
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(Error::from(ErrorKind::UnexpectedEof));
            }
            let size = line.trim().split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size, 16).map_err(|_| Error::other("no chunk"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Ok(());
            }
        }
    }
    if head.has("content-length") {
        let length: usize = head
            .header("content-length")
            .parse()
            .map_err(Error::other)?;
        let mut limited = reader.take(length as u64);
        limited.read_to_end(body)?;
        if body.len() < length {
            return Err(Error::from(ErrorKind::UnexpectedEof));
        }
        return Ok(());
    }
    if !is_request {
        reader.read_to_end(body)?;
    }
    Ok(())
}

/// Sends a whole response.
pub fn respond(stream: &mut impl Write, status: u16, headers: &str, body: &[u8]) -> Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\n{headers}content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())?;
    stream.flush()
}

/// Serves connections, each on a thread of its own. `handle` gets one request at a time and says
/// whether the connection goes on.
pub fn serve<H>(listener: TcpListener, handle: H)
where
    H: Fn(&mut TcpStream, Head, Vec<u8>) -> Result<bool> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(head)) = read_head(&mut reader) {
                    let Ok(body) = read_body(&mut reader, &head, true) else {
                        return;
                    };
                    match handle(&mut writer, head, body) {
                        Ok(true) => {}
                        _ => return,
                    }
                }
            });
        }
    });
}

/// What a client saw of the answer to a request.
#[derive(Debug, Clone)]
pub struct Seen {
    /// 0 if no answer came.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_whole: bool,
    /// Milliseconds from the start to the end.
    pub took_ms: u128,
}

/// Sends a request on a new connection and reads the answer.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Seen {
    let began = Instant::now();
    let mut seen = Seen {
        status: 0,
        head: Head::default(),
        body: Vec::new(),
        is_whole: false,
        took_ms: 0,
    };
    let outcome = (|| -> Result<()> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        stream.write_all(request)?;
        let mut reader = BufReader::new(stream);
        let Some(head) = read_head(&mut reader)? else {
            return Ok(());
        };
        seen.status = head.status();
        seen.head = head.clone();
        read_body_into(&mut reader, &head, false, &mut seen.body)?;
        seen.is_whole = true;
        Ok(())
    })();
    let _ = outcome;
    seen.took_ms = began.elapsed().as_millis();
    seen
}

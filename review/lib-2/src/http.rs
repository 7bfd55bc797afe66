//! HTTP/1.1 over blocking sockets: the server side of the stand-ins and the clients.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A received request.
#[derive(Debug, Clone)]
pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let pair = query
            .split('&')
            .find_map(|pair| pair.strip_prefix(&format!("{name}=")))?;
        Some(percent_decoded(pair))
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match code.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> std::io::Result<String> {
    let mut line = Vec::new();
    reader.take(64 * 1024).read_until(b'\n', &mut line)?;
    if line.last() != Some(&b'\n') {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let text = String::from_utf8_lossy(&line);
    Ok(text.trim_end_matches(['\r', '\n']).to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> std::io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_chunks(reader: &mut impl BufRead, out: &mut Vec<u8>) -> std::io::Result<()> {
    loop {
        let line = read_line(reader)?;
        let size = line.split(';').next().unwrap_or("").trim().to_owned();
        let size = usize::from_str_radix(&size, 16).map_err(|_| ErrorKind::InvalidData)?;
        if size == 0 {
            while !read_line(reader)?.is_empty() {}
            return Ok(());
        }
        let start = out.len();
        out.resize(start + size, 0);
        if let Err(error) = reader.read_exact(&mut out[start..]) {
            out.truncate(start);
            return Err(error);
        }
        read_line(reader)?;
    }
}

/// Reads one request; `None` if the peer closed the connection before it.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let line = read_line(reader).ok()?;
    let mut words = line.split(' ');
    let target = words.nth(1)?.to_owned();
    let headers = read_headers(reader).ok()?;
    let mut body = Vec::new();
    if header(&headers, "transfer-encoding").is_some() {
        read_chunks(reader, &mut body).ok()?;
    } else if let Some(length) = header(&headers, "content-length") {
        body.resize(length.parse().ok()?, 0);
        reader.read_exact(&mut body).ok()?;
    }
    Some(Request {
        target,
        headers,
        body,
    })
}

/// Writes a whole response.
pub fn write_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)
}

/// What a client got.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 without a response head.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
    pub took_ms: u64,
    pub error: String,
}

impl Answer {
    pub fn summary(&self) -> String {
        if self.status == 0 {
            return format!("no answer ({}) after {} ms", self.error, self.took_ms);
        }
        let end = if self.is_whole { "whole" } else { "broken off" };
        format!(
            "{} {end} {} bytes after {} ms",
            self.status,
            self.body.len(),
            self.took_ms
        )
    }
}

/// Sends a request on a new connection and reads the answer until `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Answer {
    let began = Instant::now();
    let mut answer = Answer::default();
    let result = exchange(
        address,
        method,
        target,
        headers,
        body,
        began + limit,
        &mut answer,
    );
    if let Err(error) = result {
        answer.error = error.to_string();
    }
    answer.took_ms = began.elapsed().as_millis() as u64;
    answer
}

fn exchange(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    until: Instant,
    answer: &mut Answer,
) -> std::io::Result<()> {
    let left = || {
        until
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1))
    };
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(left()))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(left()))?;
    stream.set_write_timeout(Some(left()))?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let line = read_line(&mut reader)?;
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
    answer.status = status.ok_or(ErrorKind::InvalidData)?;
    answer.headers = read_headers(&mut reader)?;
    if header(&answer.headers, "transfer-encoding").is_some() {
        read_chunks(&mut reader, &mut answer.body)?;
    } else if let Some(length) = header(&answer.headers, "content-length") {
        let length: u64 = length.parse().map_err(|_| ErrorKind::InvalidData)?;
        (&mut reader).take(length).read_to_end(&mut answer.body)?;
        if (answer.body.len() as u64) < length {
            return Err(ErrorKind::UnexpectedEof.into());
        }
    } else {
        reader.read_to_end(&mut answer.body)?;
    }
    answer.is_whole = true;
    Ok(())
}

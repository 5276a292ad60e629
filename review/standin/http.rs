//! HTTP/1.1 in the small: heads, bodies and connections, for stand-ins and requesters.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A head and a body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(known, _)| *known == name)
            .map(|(_, value)| unescape(value))
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }
}

fn unescape(text: &str) -> String {
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

/// Reads a head. Returns nothing if the peer closed the connection before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            if message.first.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end_matches(['\r', '\n']);
        if message.first.is_empty() {
            message.first = text.to_owned();
        } else if text.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that the head announces. Bodies of chunks are joined.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(());
            }
            message.body.extend(chunk);
        }
    }
    let length = message
        .header("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)
}

/// Reads one chunk; the last one is empty.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
        .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    let mut end = [0; 2];
    reader.read_exact(&mut end)?;
    Ok(chunk)
}

/// Writes a message with a length.
pub fn write_message(
    stream: &mut impl Write,
    first: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("{first}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    bytes.extend(body);
    stream.write_all(&bytes)?;
    stream.flush()
}

/// Serves connections, each in a thread of its own. The handler gets the request and the stream for
/// its answer, and returns whether the connection is kept.
pub fn serve<Handle>(listener: TcpListener, handle: Handle)
where
    Handle: Fn(&Message, &mut TcpStream, &mut BufReader<TcpStream>) -> io::Result<bool>
        + Send
        + Sync
        + 'static,
{
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(mut request)) = read_head(&mut reader) {
                    if read_body(&mut reader, &mut request).is_err() {
                        return;
                    }
                    if !handle(&request, &mut writer, &mut reader).unwrap_or(false) {
                        return;
                    }
                }
            });
        }
    });
}

/// The end of a request as its requester saw it.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// A whole answer.
    Answer(Message),
    /// The channel ended before the answer was complete.
    Closed(String),
    /// No whole answer came in time.
    Silent,
}

impl Outcome {
    pub fn text(&self) -> String {
        match self {
            Self::Answer(message) => format!("status {}", message.status()),
            Self::Closed(reason) => format!("channel closed ({reason})"),
            Self::Silent => "no answer".to_owned(),
        }
    }

    pub fn status(&self) -> u16 {
        match self {
            Self::Answer(message) => message.status(),
            _ => 0,
        }
    }
}

/// Sends a request on a new channel and reads the whole answer within `max_wait`.
pub fn request(
    address: SocketAddr,
    first: &str,
    headers: &[(&str, String)],
    body: &[u8],
    max_wait: Duration,
) -> Outcome {
    match try_request(address, first, headers, body, max_wait) {
        Ok(answer) => Outcome::Answer(answer),
        Err(error)
            if matches!(
                error.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
            ) =>
        {
            Outcome::Silent
        }
        Err(error) => Outcome::Closed(error.kind().to_string()),
    }
}

fn try_request(
    address: SocketAddr,
    first: &str,
    headers: &[(&str, String)],
    body: &[u8],
    max_wait: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, max_wait)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(max_wait))?;
    stream.set_write_timeout(Some(max_wait))?;
    write_message(&mut stream, first, headers, body)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let mut answer = head.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
    read_body(&mut reader, &mut answer)?;
    Ok(answer)
}

/// Reads at most this many bytes; an end of the channel gives none.
pub fn read_some(stream: &mut TcpStream, bytes: usize) -> io::Result<usize> {
    let mut buffer = vec![0; bytes];
    stream.read(&mut buffer)
}

/// Returns whether a readiness check of an entry succeeds.
pub fn is_ready(readiness: SocketAddr) -> bool {
    let headers = [("Host", readiness.to_string())];
    let check = request(
        readiness,
        "GET /api/ready HTTP/1.1",
        &headers,
        b"",
        Duration::from_secs(1),
    );
    check.status() == 200
}

/// Returns whether the peer has closed a channel on which it sends nothing now.
pub fn is_closed(channel: &TcpStream) -> bool {
    let _ = channel.set_nonblocking(true);
    let peeked = channel.peek(&mut [0; 1]);
    let _ = channel.set_nonblocking(false);
    match peeked {
        Ok(bytes) => bytes == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

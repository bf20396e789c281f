//! An entry VM that gives a fixed answer.

use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use serde_json::Value;

/// Answers one call with this status and body; returns the address.
pub(crate) fn vm(status: u16, body: &Value) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("free port");
    let address = listener.local_addr().expect("bound address");
    let body = body.to_string();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("connection");
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request).expect("request");
        let length = body.len();
        write!(
            stream,
            "HTTP/1.1 {status} -\r\ncontent-length: {length}\r\n\r\n{body}"
        )
        .expect("answer");
    });
    address
}

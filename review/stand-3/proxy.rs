//! A proxy for one front's connections to one replica.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    refuses: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(replica: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        listener.set_nonblocking(true).expect("a listener that doesn't block");
        let refuses = Arc::new(AtomicBool::new(false));
        let is_over = refuses.clone();
        std::thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        std::thread::spawn(move || carry(stream, replica));
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        std::thread::sleep(Duration::from_millis(1));
                    }
                    Err(_) => return,
                }
            }
            // The listener is closed here: new connections are refused, those that are open live on.
        });
        Proxy { address, refuses }
    }

    /// New connections are refused from now on.
    pub fn refuse(&self) {
        self.refuses.store(true, Ordering::SeqCst);
    }
}

fn carry(front: TcpStream, replica: SocketAddr) {
    let Ok(server) = TcpStream::connect(replica) else { return };
    let _ = (front.set_nodelay(true), server.set_nodelay(true));
    let (Ok(from), Ok(to)) = (front.try_clone(), server.try_clone()) else { return };
    std::thread::spawn(move || copy(from, to));
    copy(server, front);
}

/// Carries bytes until their end, and the end as it came.
fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buf = [0; 16 << 10];
    loop {
        match from.read(&mut buf) {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(n) if to.write_all(&buf[..n]).is_ok() => {}
            // A reset: the stream ends broken, which a close with unread bytes shows.
            _ => {
                let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
                return;
            }
        }
    }
}

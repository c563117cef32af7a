//! A proxy between an agent and one control host, which holds back all bytes while the link is
//! cut, as a partition does.
//!
//! Control hosts tell agents each other's addresses. All addresses are loopback addresses here,
//! so the proxy replaces those of control hosts by those of the proxies, which are as long: the
//! agent has no path around them.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::http;

const POLL: Duration = Duration::from_millis(5);

/// A text that is replaced by another one of the same length.
pub type Replacement = (Vec<u8>, Vec<u8>);

/// The links of one agent to the control hosts; clones share the cut.
#[derive(Clone, Default)]
pub struct Cut(Arc<AtomicBool>);

impl Cut {
    pub fn set(&self, is_cut: bool) {
        self.0.store(is_cut, Ordering::SeqCst);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Forwards connections from `listen` to `target`.
pub fn start_link(listen: SocketAddr, target: SocketAddr, cut: &Cut, replace: &[Replacement]) {
    let listener = TcpListener::bind(listen).expect("the proxy's address is free");
    let (cut, replace) = (cut.clone(), replace.to_vec());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (cut, replace) = (cut.clone(), replace.clone());
            std::thread::spawn(move || forward(stream, target, &cut, replace));
        }
    });
}

fn forward(inner: TcpStream, target: SocketAddr, cut: &Cut, replace: Vec<Replacement>) {
    if cut.is_set() {
        // The opening packets are lost: nothing of this connection ever arrives.
        return http::drain(inner);
    }
    let Ok(outer) = TcpStream::connect(target) else { return };
    let _set = (inner.set_nodelay(true), outer.set_nodelay(true));
    let (Ok(inner_reader), Ok(outer_reader)) = (inner.try_clone(), outer.try_clone()) else {
        return;
    };
    let up_cut = cut.clone();
    std::thread::spawn(move || pump(inner_reader, outer, &up_cut, Vec::new()));
    pump(outer_reader, inner, cut, replace);
}

/// Copies bytes until one side ends; holds them back while the link is cut.
fn pump(mut from: TcpStream, mut to: TcpStream, cut: &Cut, replace: Vec<Replacement>) {
    let mut buffer = vec![0; 64 * 1024];
    let mut pending: Vec<u8> = Vec::new();
    while let Ok(read) = from.read(&mut buffer) {
        while cut.is_set() {
            std::thread::sleep(POLL);
        }
        if read == 0 {
            break;
        }
        pending.extend(&buffer[..read]);
        let ready = replace_all(&mut pending, &replace);
        if to.write_all(&ready).is_err() {
            break;
        }
    }
    let _written = to.write_all(&pending);
    let _ended = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
}

/// Takes what can be sent with the replacements made; keeps a tail that may be the beginning of
/// a text to replace.
fn replace_all(pending: &mut Vec<u8>, replace: &[Replacement]) -> Vec<u8> {
    for (text, other) in replace {
        let mut at = 0;
        while at + text.len() <= pending.len() {
            if pending[at..].starts_with(text) {
                pending[at..at + text.len()].copy_from_slice(other);
            }
            at += 1;
        }
    }
    let longest = replace.iter().map(|(text, _)| text.len()).max().unwrap_or(0);
    let is_begun = |kept: usize| {
        let tail = &pending[pending.len() - kept..];
        replace.iter().any(|(text, _)| text.len() > kept && text.starts_with(tail))
    };
    let most = longest.min(pending.len());
    let kept = (1..=most).rev().find(|kept| is_begun(*kept)).unwrap_or(0);
    let tail = pending.split_off(pending.len() - kept);
    std::mem::replace(pending, tail)
}

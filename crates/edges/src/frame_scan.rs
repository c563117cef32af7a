//! Finds the lengths of the WebSocket messages that a connection announces. The library
//! allocates a message as soon as its header was read, so its length counts from then on.

/// Longest header of a frame from a client: two bytes, a length of eight and a mask of four.
const MAX_HEADER_BYTES: usize = 14;
/// The end of the request that opens the connection.
const REQUEST_END: [u8; 4] = *b"\r\n\r\n";

/// Position in the bytes that a client sends.
pub(crate) enum FrameScan {
    /// In the opening request, with the number of bytes of its end that were just read.
    Request { matched: usize },
    /// In the header of a frame.
    Header { bytes: [u8; MAX_HEADER_BYTES], length: usize },
    /// In the payload of a frame, of which this many bytes are to come.
    Payload { left: u64 },
}

impl Default for FrameScan {
    fn default() -> FrameScan {
        FrameScan::Request { matched: 0 }
    }
}

impl FrameScan {
    /// Takes the next bytes; returns how many they take up in memory, with all of each frame
    /// that they begin.
    pub(crate) fn read(&mut self, mut bytes: &[u8]) -> u64 {
        let mut taken = 0_u64;
        while let Some((first, rest)) = bytes.split_first() {
            match self {
                FrameScan::Request { matched } => {
                    taken += 1;
                    *matched = match *first {
                        byte if byte == REQUEST_END[*matched] => *matched + 1,
                        b'\r' => 1,
                        _ => 0,
                    };
                    if *matched == REQUEST_END.len() {
                        *self = FrameScan::new_header();
                    }
                    bytes = rest;
                }
                FrameScan::Header { bytes: header, length } => {
                    header[*length] = *first;
                    *length += 1;
                    if let Some(payload) = payload_length(&header[..*length]) {
                        taken = taken.saturating_add(payload);
                        *self = match payload {
                            0 => FrameScan::new_header(),
                            left => FrameScan::Payload { left },
                        };
                    }
                    bytes = rest;
                }
                FrameScan::Payload { left } => {
                    let part = (bytes.len() as u64).min(*left);
                    *left -= part;
                    if *left == 0 {
                        *self = FrameScan::new_header();
                    }
                    bytes = &bytes[part as usize..];
                }
            }
        }
        taken
    }

    fn new_header() -> FrameScan {
        FrameScan::Header { bytes: [0; MAX_HEADER_BYTES], length: 0 }
    }
}

/// Length of the payload after a complete header; `None` while it is incomplete.
fn payload_length(header: &[u8]) -> Option<u64> {
    let second = *header.get(1)?;
    let (length_bytes, short) = match second & 0x7F {
        126 => (2, 0),
        127 => (8, 0),
        short => (0, u64::from(short)),
    };
    let mask_bytes = if second & 0x80 == 0 { 0 } else { 4 };
    let extended = header.get(2..2 + length_bytes + mask_bytes)?;
    let length = &extended[..length_bytes];
    Some(length.iter().fold(short, |sum, byte| (sum << 8) | u64::from(*byte)))
}

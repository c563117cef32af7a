//! Owns the format of a journal frame: a checksummed unit that one sync covers.
//!
//! A frame consists of, in little-endian order: the magic number `CWF1`, the
//! payload's length (u32), a sequence number (u64), the payload's CRC-32 (u32),
//! the header's CRC-32 (u32), and the payload.
//!
//! Invariant: frames are written one at a time, each synced before the next, so
//! an invalid frame that precedes a valid one was damaged after its sync and is
//! not a torn write.

/// Size of the header, which precedes the payload.
pub(crate) const HEADER_BYTES: usize = 24;
const MAGIC: &[u8; 4] = b"CWF1";

/// The result of reading a frame at an offset.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum FrameRead<'a> {
    /// A frame with valid checksums; `end` is the offset of the next one.
    Valid { sequence: u64, payload: &'a [u8], end: usize },
    /// The offset is the end of the file.
    End,
    /// A torn or damaged frame.
    Invalid,
}

/// Encodes a frame.
pub(crate) fn encode_frame(sequence: u64, payload: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(MAGIC);
    frame.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    frame.extend_from_slice(&sequence.to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let header_checksum = crc32fast::hash(&frame);
    frame.extend_from_slice(&header_checksum.to_le_bytes());
    frame.extend_from_slice(payload);
    frame
}

/// Reads the frame at `offset`.
pub(crate) fn read_frame(bytes: &[u8], offset: usize) -> FrameRead<'_> {
    if offset == bytes.len() {
        return FrameRead::End;
    }
    let Some(header) = bytes.get(offset..offset + HEADER_BYTES) else { return FrameRead::Invalid };
    if &header[..4] != MAGIC || crc32fast::hash(&header[..20]) != read_u32(header, 20) {
        return FrameRead::Invalid;
    }
    let start = offset + HEADER_BYTES;
    let end = start + read_u32(header, 4) as usize;
    let Some(payload) = bytes.get(start..end) else { return FrameRead::Invalid };
    if crc32fast::hash(payload) != read_u32(header, 16) {
        return FrameRead::Invalid;
    }
    FrameRead::Valid { sequence: read_u64(header, 8), payload, end }
}

/// Whether a valid frame starts at any byte after `offset`.
pub(crate) fn has_valid_frame_after(bytes: &[u8], offset: usize) -> bool {
    let end = bytes.len().saturating_sub(HEADER_BYTES);
    (offset + 1..=end).any(|candidate| {
        bytes[candidate..].starts_with(MAGIC)
            && matches!(read_frame(bytes, candidate), FrameRead::Valid { .. })
    })
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    let mut buffer = [0; 4];
    buffer.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(buffer)
}

fn read_u64(bytes: &[u8], at: usize) -> u64 {
    let mut buffer = [0; 8];
    buffer.copy_from_slice(&bytes[at..at + 8]);
    u64::from_le_bytes(buffer)
}

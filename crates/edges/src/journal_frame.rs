//! Owns the form of a frame: what one sync covers, with checksums.
//!
//! A frame is, in little-endian order: the mark `CWF1`, the payload's length
//! (u32), a sequence number (u64), the payload's CRC-32 (u32), the header's
//! CRC-32 (u32), and the payload.
//!
//! Invariant: frames are written one at a time, each synced before the next;
//! so a broken frame with a whole one behind it was once whole.

/// Bytes before the payload.
pub(crate) const HEADER_BYTES: usize = 24;
const MARK: &[u8; 4] = b"CWF1";

/// What stands at a place of a file.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum FrameAt<'a> {
    /// A whole frame.
    Whole { sequence: u64, payload: &'a [u8], end: usize },
    /// The end of the file.
    End,
    /// Nothing that is whole.
    Broken,
}

/// Writes a frame.
pub(crate) fn encode_frame(sequence: u64, payload: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(MARK);
    frame.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    frame.extend_from_slice(&sequence.to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let header_sum = crc32fast::hash(&frame);
    frame.extend_from_slice(&header_sum.to_le_bytes());
    frame.extend_from_slice(payload);
    frame
}

/// Reads what stands at `offset`.
pub(crate) fn frame_at(bytes: &[u8], offset: usize) -> FrameAt<'_> {
    if offset == bytes.len() {
        return FrameAt::End;
    }
    let Some(header) = bytes.get(offset..offset + HEADER_BYTES) else { return FrameAt::Broken };
    if &header[..4] != MARK || crc32fast::hash(&header[..20]) != read_u32(header, 20) {
        return FrameAt::Broken;
    }
    let start = offset + HEADER_BYTES;
    let end = start + read_u32(header, 4) as usize;
    let Some(payload) = bytes.get(start..end) else { return FrameAt::Broken };
    if crc32fast::hash(payload) != read_u32(header, 16) {
        return FrameAt::Broken;
    }
    FrameAt::Whole { sequence: read_u64(header, 8), payload, end }
}

/// Whether a whole frame stands anywhere after `offset`.
pub(crate) fn whole_frame_after(bytes: &[u8], offset: usize) -> bool {
    let rest = bytes.len().saturating_sub(HEADER_BYTES);
    (offset + 1..=rest).any(|place| {
        bytes[place..].starts_with(MARK) && matches!(frame_at(bytes, place), FrameAt::Whole { .. })
    })
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    let mut word = [0; 4];
    word.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(word)
}

fn read_u64(bytes: &[u8], at: usize) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&bytes[at..at + 8]);
    u64::from_le_bytes(word)
}

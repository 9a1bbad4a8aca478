//! Frame format of the links between controllers: a big-endian length field of four bytes, then a heartbeat in CBOR.

use std::io;

use super::PeerHeartbeat;
use crate::runtime::Stream;

/// Maximum size of a heartbeat accepted from a link, in bytes, without the length field.
const FRAME_BYTES_MAX: usize = 64 * 1024;
/// Size of a frame's length field, in bytes.
const LENGTH_BYTES: usize = 4;

/// Why a heartbeat could not be encoded.
#[derive(Debug, thiserror::Error)]
pub(super) enum EncodeError {
    /// CBOR serialization failed.
    #[error("the heartbeat cannot be encoded as CBOR: {0}")]
    Cbor(#[from] ciborium::ser::Error<io::Error>),
    /// The size of the heartbeat in bytes does not fit into the length field.
    #[error("the heartbeat has {0} bytes, too many for the length field of a frame")]
    Length(usize),
}

/// Why receiving a heartbeat from a link failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReceiveError {
    /// The peer closed the link.
    #[error("the peer closed the link")]
    Closed,
    /// Reading from the connection failed.
    #[error("reading from the link failed: {0}")]
    Read(#[from] io::Error),
    /// The size in the length field, reported here, exceeds [`FRAME_BYTES_MAX`].
    #[error("the frame has {0} bytes, more than the limit of {FRAME_BYTES_MAX}")]
    FrameTooLarge(usize),
    /// The content of the frame is not a heartbeat in CBOR.
    #[error("malformed heartbeat: {0}")]
    Cbor(#[from] ciborium::de::Error<io::Error>),
}

/// Encodes a heartbeat as a frame, including the length field.
pub(super) fn encode(heartbeat: &PeerHeartbeat) -> Result<Vec<u8>, EncodeError> {
    let mut frame = vec![0; LENGTH_BYTES];
    ciborium::into_writer(heartbeat, &mut frame)?;
    let bytes = frame.len() - LENGTH_BYTES;
    let length = u32::try_from(bytes).map_err(|_| EncodeError::Length(bytes))?;
    frame[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(frame)
}

/// Reads one frame from the link and decodes its heartbeat.
pub(super) async fn receive(stream: &mut Stream) -> Result<PeerHeartbeat, ReceiveError> {
    let mut length = [0; LENGTH_BYTES];
    read_exact(stream, &mut length).await?;
    let bytes = u32::from_be_bytes(length) as usize;
    if bytes > FRAME_BYTES_MAX {
        return Err(ReceiveError::FrameTooLarge(bytes));
    }
    let mut body = vec![0; bytes];
    read_exact(stream, &mut body).await?;
    Ok(ciborium::from_reader(body.as_slice())?)
}

/// Reads from the link until `buffer` is full.
async fn read_exact(stream: &mut Stream, mut buffer: &mut [u8]) -> Result<(), ReceiveError> {
    while !buffer.is_empty() {
        let count = stream.read(buffer).await?;
        if count == 0 {
            return Err(ReceiveError::Closed);
        }
        buffer = &mut buffer[count..];
    }
    Ok(())
}

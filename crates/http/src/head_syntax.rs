//! Checks the syntax of response heads where the codec is more tolerant.

use httparse::EMPTY_HEADER;
use httparse::Response;
use httparse::Status;
use jy_types::name::Name;

/// Result with a description of what is malformed.
pub type Result<T> = std::result::Result<T, Name>;

/// Largest number of fields. The codec rejects heads with more.
const MAX_FIELDS: usize = 96;

/// Checks the head at the start of `bytes`, as far as it was received. Returns whether it is complete.
///
/// The codec tolerates blanks between the name of a field and its colon, and so passes on a line that is no field. It also
/// takes a line feed for the end of a line, so that one at the start of a field's name ends the head.
///
/// # Errors
///
/// A description if the head is malformed.
pub fn check_head(bytes: &[u8]) -> Result<bool> {
    let mut fields = [EMPTY_HEADER; MAX_FIELDS];
    let mut head = Response::new(&mut fields);
    let (head_bytes, is_complete) = match head.parse(bytes) {
        Ok(Status::Complete(length)) => (&bytes[..length], true),
        Ok(Status::Partial) => (bytes, false),
        Err(error) => return Err(format!("the head of the answer is malformed: {error}").into()),
    };
    if has_lone_line_feed(head_bytes) {
        return Err("the head of the answer has a line feed without a carriage return".into());
    }
    Ok(is_complete)
}

/// Whether a line feed does not follow a carriage return.
fn has_lone_line_feed(bytes: &[u8]) -> bool {
    let mut previous = None;
    bytes.iter().any(|byte| {
        let is_lone = *byte == b'\n' && previous != Some(b'\r');
        previous = Some(*byte);
        is_lone
    })
}

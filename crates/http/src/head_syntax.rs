//! Checks the syntax of response heads where the codec is more tolerant.

use actix_http::header::HeaderName;
use jy_types::name::Name;

/// Result with a description of what is malformed.
pub type Result<T> = std::result::Result<T, Name>;

/// Checks the head at the start of `bytes`, as far as its lines were received. Returns whether it is complete.
///
/// The codec tolerates blanks between the name of a field and its colon, and so passes on a line that is no field. It also
/// takes a line feed for the end of a line, so that one at the start of a field's name ends the head.
///
/// # Errors
///
/// A description if the head is malformed.
pub fn check_head(bytes: &[u8]) -> Result<bool> {
    let mut has_status = false;
    for line in bytes.split_inclusive(|byte| *byte == b'\n') {
        let Some(line) = line.strip_suffix(b"\n") else {
            return Ok(false);
        };
        let Some(line) = line.strip_suffix(b"\r") else {
            return Err("the head of the answer has a line feed without a carriage return".into());
        };
        if !has_status {
            // Empty lines before the status are ignored, as the codec does.
            has_status = !line.is_empty();
        } else if line.is_empty() {
            return Ok(true);
        } else {
            check_field_name(line)?;
        }
    }
    Ok(false)
}

/// Checks that a line starts with the name of a field and its colon.
///
/// # Errors
///
/// A description if it does not.
fn check_field_name(line: &[u8]) -> Result<()> {
    let colon_at = line.iter().position(|byte| *byte == b':');
    let name = colon_at.map(|index| &line[..index]);
    if name.is_some_and(|name| HeaderName::from_bytes(name).is_ok()) {
        return Ok(());
    }
    Err("the head of the answer is malformed: invalid name of a field".into())
}

//! Checks the syntax of response heads where the codec is more tolerant.

use httparse::EMPTY_HEADER;
use httparse::Response;
use jy_types::name::Name;

/// Result with a description of what is malformed.
type Result<T> = std::result::Result<T, Name>;

/// Largest number of fields. The codec rejects heads with more.
const MAX_FIELDS: usize = 96;

/// Checks the head at the start of `bytes`, as far as it was received.
///
/// The codec tolerates blanks between the name of a field and its colon, and so passes on a line that is no field.
///
/// # Errors
///
/// A description if the head is malformed.
pub(super) fn check_head(bytes: &[u8]) -> Result<()> {
    let mut fields = [EMPTY_HEADER; MAX_FIELDS];
    let mut head = Response::new(&mut fields);
    match head.parse(bytes) {
        Ok(_) => Ok(()),
        Err(error) => Err(format!("the head of the answer is malformed: {error}").into()),
    }
}

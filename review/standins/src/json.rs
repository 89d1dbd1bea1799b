//! A JSON value, its parser and its writer, so that the stand-ins need no library.

use std::collections::BTreeMap;
use std::fmt::Write;

/// A JSON value. Numbers are kept as `f64`, which is exact for the numbers that the platform sends.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a complete text.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.skip_spaces();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    /// Returns a field of an object, or null.
    pub fn get(&self, name: &str) -> &Self {
        match self {
            Self::Object(fields) => fields.get(name).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    /// Returns the entries of a list; other values have none.
    pub fn items(&self) -> &[Self] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    /// Returns the text, or an empty one.
    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    /// Returns the number as an unsigned integer, or none for other values.
    pub fn integer(&self) -> Option<u64> {
        match self {
            Self::Number(number) if *number >= 0.0 => Some(*number as u64),
            _ => None,
        }
    }

    /// Writes the value as text.
    pub fn write(&self) -> String {
        let mut text = String::new();
        self.append_to(&mut text);
        text
    }

    fn append_to(&self, text: &mut String) {
        match self {
            Self::Null => text.push_str("null"),
            Self::Bool(value) => text.push_str(if *value { "true" } else { "false" }),
            Self::Number(number) if number.fract() == 0.0 => {
                let _ = write!(text, "{}", *number as i64);
            }
            Self::Number(number) => {
                let _ = write!(text, "{number}");
            }
            Self::Text(value) => append_text(text, value),
            Self::List(items) => {
                text.push('[');
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        text.push(',');
                    }
                    item.append_to(text);
                }
                text.push(']');
            }
            Self::Object(fields) => {
                text.push('{');
                for (index, (name, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        text.push(',');
                    }
                    append_text(text, name);
                    text.push(':');
                    value.append_to(text);
                }
                text.push('}');
            }
        }
    }
}

fn append_text(text: &mut String, value: &str) {
    text.push('"');
    for letter in value.chars() {
        match letter {
            '"' => text.push_str("\\\""),
            '\\' => text.push_str("\\\\"),
            '\n' => text.push_str("\\n"),
            letter if u32::from(letter) < 0x20 => {
                let _ = write!(text, "\\u{:04x}", u32::from(letter));
            }
            letter => text.push(letter),
        }
    }
    text.push('"');
}

/// Builds an object.
pub fn object<const N: usize>(fields: [(&str, Json); N]) -> Json {
    let fields = fields.into_iter();
    Json::Object(fields.map(|(name, value)| (name.into(), value)).collect())
}

/// Builds a number.
pub fn number(value: u64) -> Json {
    Json::Number(value as f64)
}

/// Builds a text.
pub fn text(value: &str) -> Json {
    Json::Text(value.into())
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_spaces(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        self.skip_spaces();
        (self.bytes.get(self.at) == Some(&expected)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        (self.bytes.get(self.at..end)? == word.as_bytes()).then(|| {
            self.at = end;
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_spaces();
        match self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => Some(Json::Text(self.string()?)),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let digits = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        digits.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut value = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(value).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => value.push(b'\n'),
                        b't' => value.push(b'\t'),
                        b'r' => value.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            self.at += 4;
                            let letter = char::from_u32(code).unwrap_or('\u{fffd}');
                            value.extend_from_slice(letter.encode_utf8(&mut [0; 4]).as_bytes());
                        }
                        other => value.push(other),
                    }
                }
                other => value.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut items = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b']').is_some() {
                return Some(Json::List(items));
            }
            self.take(b',')?;
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_spaces();
            let name = self.string()?;
            self.take(b':')?;
            fields.insert(name, self.value()?);
            if self.take(b'}').is_some() {
                return Some(Json::Object(fields));
            }
            self.take(b',')?;
        }
    }
}

//! A small JSON reader and the base64 of the store's values.

use std::collections::BTreeMap;

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
    /// Reads a document; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = read_value(bytes, &mut at)?;
        skip_spaces(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Self::Object(fields) => fields.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Self::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }
}

fn skip_spaces(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn read_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_spaces(bytes, at);
    match bytes.get(*at)? {
        b'{' => read_object(bytes, at),
        b'[' => read_list(bytes, at),
        b'"' => read_text(bytes, at).map(Json::Text),
        b't' => read_word(bytes, at, "true", Json::Bool(true)),
        b'f' => read_word(bytes, at, "false", Json::Bool(false)),
        b'n' => read_word(bytes, at, "null", Json::Null),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

fn read_word(bytes: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    bytes[*at..].starts_with(word.as_bytes()).then(|| {
        *at += word.len();
        value
    })
}

fn read_object(bytes: &[u8], at: &mut usize) -> Option<Json> {
    let mut fields = BTreeMap::new();
    *at += 1;
    loop {
        skip_spaces(bytes, at);
        match bytes.get(*at)? {
            b'}' => {
                *at += 1;
                return Some(Json::Object(fields));
            }
            b',' => *at += 1,
            _ => {
                let key = read_text(bytes, at)?;
                skip_spaces(bytes, at);
                if *bytes.get(*at)? != b':' {
                    return None;
                }
                *at += 1;
                fields.insert(key, read_value(bytes, at)?);
            }
        }
    }
}

fn read_list(bytes: &[u8], at: &mut usize) -> Option<Json> {
    let mut items = Vec::new();
    *at += 1;
    loop {
        skip_spaces(bytes, at);
        match bytes.get(*at)? {
            b']' => {
                *at += 1;
                return Some(Json::List(items));
            }
            b',' => *at += 1,
            _ => items.push(read_value(bytes, at)?),
        }
    }
}

fn read_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut text = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'u' => {
                        let code = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = u32::from_str_radix(code, 16).ok()?;
                        let mut buffer = [0; 4];
                        let encoded = char::from_u32(code)?.encode_utf8(&mut buffer);
                        text.extend_from_slice(encoded.as_bytes());
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes a value of the store.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0_u32, |number, byte| number << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= chunk.len() { digit as char } else { '=' });
        }
    }
    text
}

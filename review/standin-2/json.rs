//! A small JSON reader.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        Some(value)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    space(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                space(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Map(map));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = text(bytes, at)?;
                        space(bytes, at);
                        if bytes.get(*at)? != &b':' {
                            return None;
                        }
                        *at += 1;
                        map.insert(key, value(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                space(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(value(bytes, at)?),
                }
            }
        }
        b'"' => Some(Json::Text(text(bytes, at)?)),
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => {
            let from = *at;
            while bytes.get(*at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[from..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

fn word(bytes: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    bytes[*at..].starts_with(word.as_bytes()).then(|| {
        *at += word.len();
        value
    })
}

fn text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if bytes.get(*at)? != &b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                let escaped = *bytes.get(*at + 1)?;
                *at += 2;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'u' => {
                        let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let code = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                        out.extend(code.to_string().bytes());
                        *at += 4;
                    }
                    other => out.push(other),
                }
            }
            byte => {
                out.push(byte);
                *at += 1;
            }
        }
    }
}

//! A small JSON reader, enough for the bodies that the system sends to its platform.

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Json::Text(text)) => text,
            _ => "",
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(items)) => items,
            _ => &[],
        }
    }
}

pub fn parse(text: &str) -> Option<Json> {
    let bytes: Vec<char> = text.chars().collect();
    let mut at = 0;
    let value = value(&bytes, &mut at)?;
    skip(&bytes, &mut at);
    (at == bytes.len()).then_some(value)
}

fn skip(text: &[char], at: &mut usize) {
    while *at < text.len() && text[*at].is_whitespace() {
        *at += 1;
    }
}

fn value(text: &[char], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match *text.get(*at)? {
        '{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(text, at);
                if *text.get(*at)? == '}' {
                    *at += 1;
                    return Some(Json::Object(fields));
                }
                if !fields.is_empty() {
                    if *text.get(*at)? != ',' {
                        return None;
                    }
                    *at += 1;
                    skip(text, at);
                }
                let name = string(text, at)?;
                skip(text, at);
                if *text.get(*at)? != ':' {
                    return None;
                }
                *at += 1;
                fields.push((name, value(text, at)?));
            }
        }
        '[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(text, at);
                if *text.get(*at)? == ']' {
                    *at += 1;
                    return Some(Json::List(items));
                }
                if !items.is_empty() {
                    if *text.get(*at)? != ',' {
                        return None;
                    }
                    *at += 1;
                }
                items.push(value(text, at)?);
            }
        }
        '"' => Some(Json::Text(string(text, at)?)),
        _ => {
            let start = *at;
            while *at < text.len()
                && !matches!(text[*at], ',' | '}' | ']')
                && !text[*at].is_whitespace()
            {
                *at += 1;
            }
            let word: String = text[start..*at].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

fn string(text: &[char], at: &mut usize) -> Option<String> {
    if *text.get(*at)? != '"' {
        return None;
    }
    *at += 1;
    let mut out = String::new();
    loop {
        let char = *text.get(*at)?;
        *at += 1;
        match char {
            '"' => return Some(out),
            '\\' => {
                let escaped = *text.get(*at)?;
                *at += 1;
                match escaped {
                    'n' => out.push('\n'),
                    't' => out.push('\t'),
                    'r' => out.push('\r'),
                    'b' => out.push('\u{8}'),
                    'f' => out.push('\u{c}'),
                    'u' => {
                        let digits: String = text.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        out.push(char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?);
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}

/// A text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for char in text.chars() {
        match char {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            other if (other as u32) < 32 => out.push_str(&format!("\\u{:04x}", other as u32)),
            other => out.push(other),
        }
    }
    out.push('"');
    out
}

/// Base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(SET[(word >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

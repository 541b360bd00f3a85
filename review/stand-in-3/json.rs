//! A small JSON reader and writer, and base64.

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
    pub fn parse(bytes: &[u8]) -> Json {
        let mut reader = Reader { bytes, at: 0 };
        reader.value().unwrap_or(Json::Null)
    }

    pub fn get(&self, name: &str) -> &Json {
        if let Json::Object(fields) = self
            && let Some((_, value)) = fields.iter().find(|(key, _)| key == name)
        {
            return value;
        }
        &Json::Null
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self {
            text
        } else {
            ""
        }
    }

    pub fn number(&self) -> Option<u64> {
        if let Json::Number(number) = self {
            Some(*number as u64)
        } else {
            None
        }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self {
            list
        } else {
            &[]
        }
    }
}

/// Quotes a text; the texts of the cases need few escapes.
pub fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, wanted: u8) -> Option<()> {
        (self.peek()? == wanted).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.object(),
            b'[' => self.array(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.numeral(),
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn numeral(&mut self) -> Option<Json> {
        let from = self.at;
        while self
            .bytes
            .get(self.at)
            .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
        {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[from..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn object(&mut self) -> Option<Json> {
        let mut fields = Vec::new();
        self.take(b'{')?;
        if self.peek()? == b'}' {
            self.at += 1;
            return Some(Json::Object(fields));
        }
        loop {
            self.peek()?;
            let name = self.string()?;
            self.take(b':')?;
            fields.push((name, self.value()?));
            if self.peek()? == b'}' {
                self.at += 1;
                return Some(Json::Object(fields));
            }
            self.take(b',')?;
        }
    }

    fn array(&mut self) -> Option<Json> {
        let mut list = Vec::new();
        self.take(b'[')?;
        if self.peek()? == b']' {
            self.at += 1;
            return Some(Json::List(list));
        }
        loop {
            list.push(self.value()?);
            if self.peek()? == b']' {
                self.at += 1;
                return Some(Json::List(list));
            }
            self.take(b',')?;
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(digits.ok()?, 16).ok()?;
                            self.at += 4;
                            let letter = char::from_u32(code)?;
                            text.extend(letter.to_string().bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let part = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = bits >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(text.len() / 4 * 3);
    let (mut bits, mut count) = (0_u32, 0);
    for letter in text.bytes() {
        let Some(value) = DIGITS.iter().position(|digit| *digit == letter) else {
            break;
        };
        bits = bits << 6 | value as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    bytes
}

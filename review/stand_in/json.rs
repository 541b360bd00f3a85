//! A small JSON reader and the escaping of strings for output.

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
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut reader = Reader { bytes, at: 0 };
        let value = reader.value()?;
        reader.skip_space();
        (reader.at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        const NULL: Json = Json::Null;
        match self {
            Json::Object(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&NULL, |(_, value)| value),
            _ => &NULL,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut quoted = String::with_capacity(text.len() + 2);
    quoted.push('"');
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            c if (c as u32) < 0x20 => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while matches!(self.bytes.get(self.at), Some(b' ' | b'\n' | b'\r' | b'\t')) {
            self.at += 1;
        }
    }

    fn take(&mut self, expected: &[u8]) -> Option<()> {
        self.bytes[self.at..].starts_with(expected).then(|| self.at += expected.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' => self.take(b"true").map(|()| Json::Bool(true)),
            b'f' => self.take(b"false").map(|()| Json::Bool(false)),
            b'n' => self.take(b"null").map(|()| Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let from = self.at;
        while matches!(self.bytes.get(self.at), Some(b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[from..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take(b"\"")?;
        let mut text = Vec::new();
        loop {
            let from = self.at;
            while !matches!(self.bytes.get(self.at)?, b'"' | b'\\') {
                self.at += 1;
            }
            text.extend_from_slice(&self.bytes[from..self.at]);
            self.at += 1;
            if self.bytes[self.at - 1] == b'"' {
                return String::from_utf8(text).ok();
            }
            let escape = *self.bytes.get(self.at)?;
            self.at += 1;
            match escape {
                b'n' => text.push(b'\n'),
                b't' => text.push(b'\t'),
                b'r' => text.push(b'\r'),
                b'b' => text.push(8),
                b'f' => text.push(12),
                b'u' => {
                    let digits = self.bytes.get(self.at..self.at + 4)?;
                    self.at += 4;
                    let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
                    let c = char::from_u32(code).unwrap_or('?');
                    text.extend_from_slice(c.to_string().as_bytes());
                }
                other => text.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b"[")?;
        let mut items = Vec::new();
        self.skip_space();
        if self.take(b"]").is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            self.skip_space();
            if self.take(b"]").is_some() {
                return Some(Json::List(items));
            }
            self.take(b",")?;
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b"{")?;
        let mut fields = Vec::new();
        self.skip_space();
        if self.take(b"}").is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_space();
            let key = self.string()?;
            self.skip_space();
            self.take(b":")?;
            fields.push((key, self.value()?));
            self.skip_space();
            if self.take(b"}").is_some() {
                return Some(Json::Object(fields));
            }
            self.take(b",")?;
        }
    }
}

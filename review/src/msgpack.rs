//! The part of MessagePack that the platform's messages use.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Int(i64),
    Text(String),
    List(Vec<Value>),
    Map(Vec<(String, Value)>),
}

pub fn text(value: impl Into<String>) -> Value {
    Value::Text(value.into())
}

pub fn map(entries: Vec<(&str, Value)>) -> Value {
    let entries = entries.into_iter();
    Value::Map(
        entries
            .map(|(key, value)| (key.to_owned(), value))
            .collect(),
    )
}

impl Value {
    pub fn get(&self, key: &str) -> &Value {
        let Value::Map(entries) = self else {
            return &Value::Nil;
        };
        entries
            .iter()
            .find(|(name, _)| name == key)
            .map_or(&Value::Nil, |(_, value)| value)
    }

    pub fn as_int(&self) -> Option<i64> {
        match self {
            Value::Int(value) => Some(*value),
            _ => None,
        }
    }

    pub fn as_text(&self) -> &str {
        match self {
            Value::Text(value) => value,
            _ => "",
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.write(&mut out);
        out
    }

    fn write(&self, out: &mut Vec<u8>) {
        match self {
            Value::Nil => out.push(0xc0),
            Value::Bool(value) => out.push(0xc2 + u8::from(*value)),
            Value::Int(value) => {
                out.push(0xd3);
                out.extend(value.to_be_bytes());
            }
            Value::Text(value) => {
                out.push(0xdb);
                out.extend((value.len() as u32).to_be_bytes());
                out.extend(value.as_bytes());
            }
            Value::List(items) => {
                out.push(0xdd);
                out.extend((items.len() as u32).to_be_bytes());
                items.iter().for_each(|item| item.write(out));
            }
            Value::Map(entries) => {
                out.push(0xdf);
                out.extend((entries.len() as u32).to_be_bytes());
                for (key, value) in entries {
                    text(key.as_str()).write(out);
                    value.write(out);
                }
            }
        }
    }

    pub fn decode(bytes: &[u8]) -> Option<Value> {
        let mut reader = Reader { bytes };
        let value = reader.value()?;
        reader.bytes.is_empty().then_some(value)
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Nil => write!(f, "null"),
            Value::Bool(value) => write!(f, "{value}"),
            Value::Int(value) => write!(f, "{value}"),
            Value::Text(value) => write!(f, "{value:?}"),
            Value::List(items) => {
                write!(f, "[")?;
                for (at, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if at == 0 { "" } else { "," })?;
                }
                write!(f, "]")
            }
            Value::Map(entries) => {
                write!(f, "{{")?;
                for (at, (key, value)) in entries.iter().enumerate() {
                    write!(f, "{}{key:?}:{value}", if at == 0 { "" } else { "," })?;
                }
                write!(f, "}}")
            }
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
}

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.bytes.split_at_checked(count)?;
        self.bytes = rest;
        Some(taken)
    }

    fn number(&mut self, width: usize) -> Option<u64> {
        let bytes = self.take(width)?;
        Some(
            bytes
                .iter()
                .fold(0, |sum, byte| sum << 8 | u64::from(*byte)),
        )
    }

    fn value(&mut self) -> Option<Value> {
        let tag = self.number(1)? as u8;
        match tag {
            0x00..=0x7f => Some(Value::Int(i64::from(tag))),
            0xe0..=0xff => Some(Value::Int(i64::from(tag as i8))),
            0x80..=0x8f => self.map(usize::from(tag & 0x0f)),
            0x90..=0x9f => self.list(usize::from(tag & 0x0f)),
            0xa0..=0xbf => self.text(usize::from(tag & 0x1f)),
            0xc0 => Some(Value::Nil),
            0xc2 | 0xc3 => Some(Value::Bool(tag == 0xc3)),
            0xcc..=0xcf => self.number(1 << (tag - 0xcc)).map(|n| Value::Int(n as i64)),
            0xd0 => self.number(1).map(|n| Value::Int(i64::from(n as u8 as i8))),
            0xd1 => self
                .number(2)
                .map(|n| Value::Int(i64::from(n as u16 as i16))),
            0xd2 => self
                .number(4)
                .map(|n| Value::Int(i64::from(n as u32 as i32))),
            0xd3 => self.number(8).map(|n| Value::Int(n as i64)),
            0xd9..=0xdb => {
                let length = self.number(1 << (tag - 0xd9))?;
                self.text(length as usize)
            }
            0xdc | 0xdd => {
                let length = self.number(2 << (tag - 0xdc))?;
                self.list(length as usize)
            }
            0xde | 0xdf => {
                let length = self.number(2 << (tag - 0xde))?;
                self.map(length as usize)
            }
            _ => None,
        }
    }

    fn text(&mut self, length: usize) -> Option<Value> {
        let bytes = self.take(length)?;
        String::from_utf8(bytes.to_vec()).ok().map(Value::Text)
    }

    fn list(&mut self, length: usize) -> Option<Value> {
        (0..length)
            .map(|_| self.value())
            .collect::<Option<_>>()
            .map(Value::List)
    }

    fn map(&mut self, length: usize) -> Option<Value> {
        let mut entries = Vec::new();
        for _ in 0..length {
            let Value::Text(key) = self.value()? else {
                return None;
            };
            entries.push((key, self.value()?));
        }
        Some(Value::Map(entries))
    }
}

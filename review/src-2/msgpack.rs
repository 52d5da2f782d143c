//! MessagePack as far as the platform's bodies need it.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Int(i64),
    Float(f64),
    Text(String),
    List(Vec<Value>),
    Map(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, key: &str) -> &Value {
        const NIL: Value = Value::Nil;
        match self {
            Value::Map(map) => map.get(key).unwrap_or(&NIL),
            _ => &NIL,
        }
    }

    pub fn int(&self) -> Option<i64> {
        match self {
            Value::Int(number) => Some(*number),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Value::Text(text.to_owned())
    }
}

impl From<i64> for Value {
    fn from(number: i64) -> Self {
        Value::Int(number)
    }
}

impl From<Vec<Value>> for Value {
    fn from(items: Vec<Value>) -> Self {
        Value::List(items)
    }
}

pub fn map<const N: usize>(entries: [(&str, Value); N]) -> Value {
    let entries = entries.into_iter();
    Value::Map(
        entries
            .map(|(key, value)| (key.to_owned(), value))
            .collect(),
    )
}

pub fn encode(value: &Value) -> Vec<u8> {
    let mut out = Vec::new();
    write(value, &mut out);
    out
}

fn write(value: &Value, out: &mut Vec<u8>) {
    match value {
        Value::Nil => out.push(0xc0),
        Value::Bool(flag) => out.push(if *flag { 0xc3 } else { 0xc2 }),
        Value::Int(number) if *number >= 0 => {
            out.push(0xcf);
            out.extend((*number as u64).to_be_bytes());
        }
        Value::Int(number) => {
            out.push(0xd3);
            out.extend(number.to_be_bytes());
        }
        Value::Float(number) => {
            out.push(0xcb);
            out.extend(number.to_be_bytes());
        }
        Value::Text(text) => write_text(text, out),
        Value::List(items) => {
            out.push(0xdd);
            out.extend((items.len() as u32).to_be_bytes());
            items.iter().for_each(|item| write(item, out));
        }
        Value::Map(entries) => {
            out.push(0xdf);
            out.extend((entries.len() as u32).to_be_bytes());
            for (key, value) in entries {
                write_text(key, out);
                write(value, out);
            }
        }
    }
}

fn write_text(text: &str, out: &mut Vec<u8>) {
    out.push(0xdb);
    out.extend((text.len() as u32).to_be_bytes());
    out.extend(text.as_bytes());
}

/// Decodes a body; `None` if it is malformed.
pub fn decode(mut body: &[u8]) -> Option<Value> {
    read(&mut body)
}

fn take<'a>(body: &mut &'a [u8], count: usize) -> Option<&'a [u8]> {
    let (taken, rest) = body.split_at_checked(count)?;
    *body = rest;
    Some(taken)
}

fn number(body: &mut &[u8], bytes: usize) -> Option<u64> {
    let taken = take(body, bytes)?;
    Some(
        taken
            .iter()
            .fold(0, |sum, byte| sum << 8 | u64::from(*byte)),
    )
}

fn text(body: &mut &[u8], bytes: usize) -> Option<Value> {
    let text = String::from_utf8(take(body, bytes)?.to_vec()).ok()?;
    Some(Value::Text(text))
}

fn list(body: &mut &[u8], count: usize) -> Option<Value> {
    (0..count)
        .map(|_| read(body))
        .collect::<Option<Vec<_>>>()
        .map(Value::List)
}

fn entries(body: &mut &[u8], count: usize) -> Option<Value> {
    let mut map = BTreeMap::new();
    for _ in 0..count {
        let Value::Text(key) = read(body)? else {
            return None;
        };
        map.insert(key, read(body)?);
    }
    Some(Value::Map(map))
}

fn read(body: &mut &[u8]) -> Option<Value> {
    let tag = take(body, 1)?[0];
    match tag {
        0x00..=0x7f => Some(Value::Int(tag.into())),
        0x80..=0x8f => entries(body, usize::from(tag & 15)),
        0x90..=0x9f => list(body, usize::from(tag & 15)),
        0xa0..=0xbf => text(body, usize::from(tag & 31)),
        0xc0 => Some(Value::Nil),
        0xc2 => Some(Value::Bool(false)),
        0xc3 => Some(Value::Bool(true)),
        0xca => Some(Value::Float(f32::from_bits(number(body, 4)? as u32).into())),
        0xcb => Some(Value::Float(f64::from_bits(number(body, 8)?))),
        0xcc..=0xcf => Some(Value::Int(number(body, 1 << (tag - 0xcc))? as i64)),
        0xd0 => Some(Value::Int((number(body, 1)? as i8).into())),
        0xd1 => Some(Value::Int((number(body, 2)? as i16).into())),
        0xd2 => Some(Value::Int((number(body, 4)? as i32).into())),
        0xd3 => Some(Value::Int(number(body, 8)? as i64)),
        0xd9..=0xdb => {
            let bytes = number(body, 1 << (tag - 0xd9))? as usize;
            text(body, bytes)
        }
        0xdc | 0xdd => {
            let count = number(body, 2 << (tag - 0xdc))? as usize;
            list(body, count)
        }
        0xde | 0xdf => {
            let count = number(body, 2 << (tag - 0xde))? as usize;
            entries(body, count)
        }
        0xe0..=0xff => Some(Value::Int((tag as i8).into())),
        _ => None,
    }
}

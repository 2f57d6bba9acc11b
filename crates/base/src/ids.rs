//! Names of jobs and machines inside the process: cheap to copy, and compared without a look at
//! their text. A large fleet compares millions of them a second.

use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::cmp::Ordering;
use std::hash::{Hash, Hasher};
use std::ops::Deref;
use std::rc::Rc;

/// Bytes of a name that are compared as numbers.
const HEAD: usize = 16;

/// A name. Its order, its equality and its hash are those of its text, so that it can be looked up
/// by the text too.
#[derive(Clone)]
pub struct Id {
    /// The first bytes, the first one highest, zeros behind the end.
    head: [u64; 2],
    text: Rc<str>,
}

/// A machine's name.
pub type MachineId = Id;

impl Id {
    /// Whether the head is all there is.
    fn short(&self) -> bool {
        self.text.len() <= HEAD
    }
}

impl From<&str> for Id {
    fn from(text: &str) -> Id {
        let mut bytes = [0u8; HEAD];
        let n = text.len().min(HEAD);
        bytes[..n].copy_from_slice(&text.as_bytes()[..n]);
        let all = u128::from_be_bytes(bytes);
        Id {
            head: [(all >> 64) as u64, all as u64],
            text: text.into(),
        }
    }
}

impl From<String> for Id {
    fn from(text: String) -> Id {
        text.as_str().into()
    }
}

impl Deref for Id {
    type Target = str;
    fn deref(&self) -> &str {
        &self.text
    }
}

impl Borrow<str> for Id {
    fn borrow(&self) -> &str {
        &self.text
    }
}

impl PartialEq for Id {
    fn eq(&self, other: &Id) -> bool {
        self.head == other.head
            && self.text.len() == other.text.len()
            && (self.short() || self.text == other.text)
    }
}

impl Eq for Id {}

impl Ord for Id {
    fn cmp(&self, other: &Id) -> Ordering {
        // A zero byte in a text looks like its end, and a long text goes on behind its head.
        self.head.cmp(&other.head).then_with(|| {
            if self.short() && other.short() {
                self.text.len().cmp(&other.text.len())
            } else {
                self.text.cmp(&other.text)
            }
        })
    }
}

impl PartialOrd for Id {
    fn partial_cmp(&self, other: &Id) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Hash for Id {
    fn hash<H: Hasher>(&self, h: &mut H) {
        self.text.hash(h);
    }
}

impl std::fmt::Display for Id {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.text)
    }
}

impl std::fmt::Debug for Id {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        std::fmt::Debug::fmt(&*self.text, f)
    }
}

impl Serialize for Id {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(&self.text)
    }
}

impl<'de> Deserialize<'de> for Id {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Id, D::Error> {
        struct Text;
        impl serde::de::Visitor<'_> for Text {
            type Value = Id;
            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("a name")
            }
            fn visit_str<E: serde::de::Error>(self, s: &str) -> Result<Id, E> {
                Ok(s.into())
            }
        }
        d.deserialize_str(Text)
    }
}

#[cfg(test)]
mod tests;

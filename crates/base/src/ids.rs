//! Ids of jobs and machines. Clones are cheap and most comparisons need only two integers, because large clusters
//! compare millions of ids per second.

use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::cmp::Ordering;
use std::hash::{Hash, Hasher};
use std::ops::Deref;
use std::rc::Rc;

/// Leading bytes of an id that are compared as integers: two 64-bit words, which hold most ids.
const PREFIX_BYTES: usize = 16;

/// Id of a job or machine. Order, equality and hash are those of its text, so that maps can be looked up by text.
#[derive(Clone)]
pub struct Id {
    /// First bytes of the text in big-endian order, padded with zeros.
    prefix: [u64; 2],
    text: Rc<str>,
}

/// Id of a machine: its name in the cloud.
pub type MachineId = Id;

impl Id {
    /// Returns whether the prefix holds the whole text.
    fn fits_prefix(&self) -> bool {
        self.text.len() <= PREFIX_BYTES
    }
}

impl From<&str> for Id {
    fn from(text: &str) -> Id {
        let mut bytes = [0u8; PREFIX_BYTES];
        let length = text.len().min(PREFIX_BYTES);
        bytes[..length].copy_from_slice(&text.as_bytes()[..length]);
        let prefix = u128::from_be_bytes(bytes);
        Id {
            prefix: [(prefix >> 64) as u64, prefix as u64],
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
        self.prefix == other.prefix
            && self.text.len() == other.text.len()
            && (self.fits_prefix() || self.text == other.text)
    }
}

impl Eq for Id {}

impl Ord for Id {
    fn cmp(&self, other: &Id) -> Ordering {
        // Texts with equal prefixes may differ: a zero byte in a text is equal to padding, and a long text continues
        // after its prefix.
        self.prefix.cmp(&other.prefix).then_with(|| {
            if self.fits_prefix() && other.fits_prefix() {
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
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.text.hash(hasher);
    }
}

impl std::fmt::Display for Id {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.text)
    }
}

impl std::fmt::Debug for Id {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        std::fmt::Debug::fmt(&*self.text, formatter)
    }
}

impl Serialize for Id {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.text)
    }
}

impl<'de> Deserialize<'de> for Id {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Id, D::Error> {
        struct IdVisitor;
        impl serde::de::Visitor<'_> for IdVisitor {
            type Value = Id;
            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("an id")
            }
            fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Id, E> {
                Ok(text.into())
            }
        }
        deserializer.deserialize_str(IdVisitor)
    }
}

#[cfg(test)]
mod tests;

//! What controllers tell each other of cancellations. Pure.
//!
//! An owner that does not reach the state service may keep tasks alive only while it knows of every
//! cancellation early enough. Whether the service is away for all now says nothing of that: an owner that was
//! refused alone before missed what the others confirmed meanwhile. So each asks all others, again and again,
//! for what was cancelled after the revision that its own view stands at. A sibling that answers tells all
//! that it may have told users by then, and that earlier lives of it did: these wrote it before they
//! confirmed it, and this life read everything when it began. Nothing else counts, neither a word unasked,
//! which may be old, nor a list that was cut, nor silence.

use crate::store::view::View;
use crate::time::Micros;
use crate::wire::peer::{Hello, Word};
use crate::wire::user::valid_id;
use foldhash::HashMap;

/// Up to when each sibling vouches that we know of every cancellation that it may have confirmed.
#[derive(Default)]
pub struct Words {
    until: HashMap<String, Micros>,
}

/// What a controller with this view tells of cancellations after a revision. Until the view is `loaded` it
/// does not know what earlier lives of its name confirmed.
pub fn word(view: &View, loaded: bool, after: u64, most: usize) -> Option<Word> {
    if !loaded {
        return None;
    }
    let mut withdrawn = Vec::new();
    let mut whole = false;
    if let Some(mut list) = view.withdrawn_after(after) {
        let first = list.by_ref().take(most);
        withdrawn.extend(first.map(|(stamp, id)| (id.to_string(), *stamp)));
        whole = list.next().is_none();
    }
    Some(Word {
        after,
        withdrawn,
        whole,
    })
}

/// Whether a word can be the answer to a question about a revision.
fn fits(w: &Word, after: u64) -> bool {
    let sound = |(id, stamp): &(String, u64)| valid_id(id) && *stamp > after;
    w.after == after && w.withdrawn.iter().all(sound)
}

impl Words {
    /// Takes in what `sibling` answered to a question that was asked at a time about what was cancelled
    /// after a revision. Gives the cancellations to act on.
    ///
    /// A sibling that reaches the state service vouches for nothing here: it takes over what we own, if we
    /// do not, and should be left to.
    pub fn take<'a>(
        &mut self,
        sibling: &str,
        asked: Micros,
        after: u64,
        answer: &'a Hello,
    ) -> &'a [(String, u64)] {
        let word = answer.word.as_ref();
        let Some(w) = word.filter(|w| answer.node == sibling && fits(w, after)) else {
            return &[];
        };
        if w.whole && !answer.state_ok {
            let until = self.until.entry(sibling.to_string()).or_default();
            *until = asked.max(*until);
        }
        &w.withdrawn
    }

    /// Up to when every cancellation is known that anyone may have confirmed: `own` by a read of ours, or
    /// by the words of all siblings. Our own are in our view before they are told.
    pub fn informed<'a>(
        &self,
        own: Micros,
        siblings: impl Iterator<Item = &'a str>,
        now: Micros,
    ) -> Micros {
        let until = |s| self.until.get(s).copied().unwrap_or(0);
        own.max(siblings.map(until).min().unwrap_or(now))
    }
}

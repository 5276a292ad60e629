//! Deserialization of lists with a length limit that is checked before memory is allocated.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{Deserialize, Deserializer, Error, SeqAccess, Visitor};

/// Deserializes a list of at most `LIMIT` elements into any collection.
///
/// Fields use this function with
/// `#[serde(deserialize_with = "bounded::list::<LIMIT, _, _, _>")]`.
///
/// # Errors
///
/// Returns an error as soon as the list exceeds `LIMIT` elements.
pub fn list<'de, const LIMIT: usize, D, T, C>(deserializer: D) -> Result<C, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
    C: Default + Extend<T> + IntoIterator<Item = T>,
{
    deserializer.deserialize_seq(ListVisitor::<LIMIT, T, C> { types: PhantomData })
}

struct ListVisitor<const LIMIT: usize, T, C> {
    types: PhantomData<fn() -> (T, C)>,
}

impl<'de, const LIMIT: usize, T, C> Visitor<'de> for ListVisitor<LIMIT, T, C>
where
    T: Deserialize<'de>,
    C: Default + Extend<T>,
{
    type Value = C;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a list of at most {LIMIT} elements")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<C, A::Error> {
        let mut collected = C::default();
        let mut count = 0;
        while let Some(element) = elements.next_element()? {
            count += 1;
            if count > LIMIT {
                return Err(A::Error::invalid_length(count, &self));
            }
            collected.extend([element]);
        }
        Ok(collected)
    }
}

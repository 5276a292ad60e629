//! Postcard as a codec of tarpc's framed transport.

use std::io;
use std::marker::PhantomData;
use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_serde::{Deserializer, Serializer};

/// Encodes `Sent` and decodes `Received` with postcard.
#[derive(Debug)]
pub struct PostcardCodec<Received, Sent> {
    types: PhantomData<fn(Sent) -> Received>,
}

impl<Received, Sent> Default for PostcardCodec<Received, Sent> {
    fn default() -> Self {
        Self { types: PhantomData }
    }
}

fn invalid_data(error: postcard::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

impl<Received: DeserializeOwned, Sent> Deserializer<Received> for PostcardCodec<Received, Sent> {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, frame: &BytesMut) -> io::Result<Received> {
        postcard::from_bytes(frame).map_err(invalid_data)
    }
}

impl<Received, Sent: Serialize> Serializer<Sent> for PostcardCodec<Received, Sent> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &Sent) -> io::Result<Bytes> {
        postcard::to_stdvec(item)
            .map(Bytes::from)
            .map_err(invalid_data)
    }
}

//! A response body that tells its connection when it has ended.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use http_body::{Body, Frame, SizeHint};

use crate::TrackedConnection;

/// A response body of a connection.
pub(crate) struct TrackedBody<B> {
    body: B,
    connection: Arc<TrackedConnection>,
}

impl<B> TrackedBody<B> {
    pub(crate) fn new(body: B, connection: Arc<TrackedConnection>) -> TrackedBody<B> {
        TrackedBody { body, connection }
    }
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.connection.on_response_ended();
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

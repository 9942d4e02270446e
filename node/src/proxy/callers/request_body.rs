//! Body of a caller's request.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::proxy::memory::CallerConnection;

/// Body of a request, which tells its connection for how long it is coming in.
pub(crate) struct RequestBody {
    body: Incoming,
    /// None for an empty body.
    caller: Option<Arc<CallerConnection>>,
}

impl RequestBody {
    pub(crate) fn new(body: Incoming, caller: &Arc<CallerConnection>) -> Self {
        let caller = (!body.is_end_stream()).then(|| caller.clone());
        if let Some(caller) = &caller {
            caller.begin_receiving();
        }
        Self { body, caller }
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if let Some(caller) = &self.caller {
            caller.end_receiving();
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

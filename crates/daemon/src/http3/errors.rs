//! Conversion of quinn's errors to those of h3.

use std::sync::Arc;

use h3::quic::{ConnectionErrorIncoming, StreamErrorIncoming};
use quinn::{ConnectionError, ReadError, WriteError};

pub(super) fn connection(error: ConnectionError) -> ConnectionErrorIncoming {
    match error {
        ConnectionError::ApplicationClosed(close) => ConnectionErrorIncoming::ApplicationClose {
            error_code: close.error_code.into_inner(),
        },
        ConnectionError::TimedOut => ConnectionErrorIncoming::Timeout,
        other => ConnectionErrorIncoming::Undefined(Arc::new(other)),
    }
}

pub(super) fn read(error: ReadError) -> StreamErrorIncoming {
    match error {
        ReadError::Reset(code) => StreamErrorIncoming::StreamTerminated {
            error_code: code.into_inner(),
        },
        ReadError::ConnectionLost(lost) => StreamErrorIncoming::ConnectionErrorIncoming {
            connection_error: connection(lost),
        },
        other => StreamErrorIncoming::Unknown(Box::new(other)),
    }
}

pub(super) fn write(error: WriteError) -> StreamErrorIncoming {
    match error {
        WriteError::Stopped(code) => StreamErrorIncoming::StreamTerminated {
            error_code: code.into_inner(),
        },
        WriteError::ConnectionLost(lost) => StreamErrorIncoming::ConnectionErrorIncoming {
            connection_error: connection(lost),
        },
        other => StreamErrorIncoming::Unknown(Box::new(other)),
    }
}

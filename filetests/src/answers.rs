//! Sessions of kind `answers`: calls and answers on one connection.

use poplar_core::{
    AnswerError, AnswerHead, AttemptId, Exchange, Expected, Idle, Moment, RequestId, Waiting,
};

use crate::{LineError, Session, VIOLATION, parse_number};

/// Maximum size of an answer body in bytes.
const MAX_ANSWER_BYTES: u64 = 64;

enum Connection {
    Idle(Exchange<Idle>),
    Waiting(Exchange<Waiting>, Expected),
    Closed,
}

/// Interpreter for one connection at a time; `connect` opens the next one.
pub(crate) struct AnswersSession {
    connection: Connection,
    /// Trace lines of the current step.
    lines: Vec<String>,
}

impl Default for AnswersSession {
    fn default() -> Self {
        Self { connection: Connection::Closed, lines: Vec::new() }
    }
}

impl Session for AnswersSession {
    fn step(&mut self, _now: Moment, words: &[&str]) -> Result<Vec<String>, LineError> {
        match words {
            ["connect"] => self.connection = Connection::Idle(Exchange::new()),
            ["send", request, "attempt", attempt] => {
                self.send(parse_number(request)?, parse_number(attempt)?)?
            }
            ["answer", request, "attempt", attempt, body] => {
                self.answer(parse_number(request)?, parse_number(attempt)?, body, body)?;
            }
            ["answer", request, "attempt", attempt, body, "as", received] => {
                self.answer(parse_number(request)?, parse_number(attempt)?, body, received)?;
            }
            ["give-up"] => self.give_up()?,
            _ => return Err(LineError::InvalidCommand),
        }
        Ok(std::mem::take(&mut self.lines))
    }

    fn end(&mut self) -> Vec<String> {
        let state = match self.connection {
            Connection::Idle(_) => "idle",
            Connection::Waiting(..) => "waiting",
            Connection::Closed => "closed",
        };
        vec![format!("the connection is {state}")]
    }
}

impl AnswersSession {
    /// Takes the connection out and leaves [`Connection::Closed`].
    fn take_connection(&mut self) -> Connection {
        std::mem::replace(&mut self.connection, Connection::Closed)
    }

    fn send(&mut self, request: u128, attempt: u64) -> Result<(), LineError> {
        let (request, attempt) = (RequestId(request), AttemptId(attempt));
        let expected = Expected { request, attempt, max_length: MAX_ANSWER_BYTES };
        let Connection::Idle(exchange) = self.take_connection() else {
            return Err(LineError::InvalidState);
        };
        self.connection = Connection::Waiting(exchange.begin(expected), expected);
        Ok(())
    }

    /// Receives an answer whose head was computed for `body`, with `received` as its body.
    fn answer(
        &mut self,
        request: u128,
        attempt: u64,
        body: &str,
        received: &str,
    ) -> Result<(), LineError> {
        let (request, attempt) = (RequestId(request), AttemptId(attempt));
        let head = AnswerHead::for_body(request, attempt, 200, body.as_bytes());
        match self.take_connection() {
            Connection::Idle(exchange) => self.drop_answer(exchange.unsolicited()),
            Connection::Waiting(exchange, expected) => {
                match exchange.accept(&head, received.as_bytes()) {
                    Ok((_, exchange)) => {
                        self.connection = Connection::Idle(exchange);
                        self.forward(&expected, request, attempt, body == received, received);
                    }
                    Err(error) => self.drop_answer(error),
                }
            }
            Connection::Closed => return Err(LineError::InvalidState),
        }
        Ok(())
    }

    /// Records that the caller gets an accepted answer, and checks that it is the expected one,
    /// unaltered.
    fn forward(
        &mut self,
        expected: &Expected,
        request: RequestId,
        attempt: AttemptId,
        intact: bool,
        body: &str,
    ) {
        self.lines.push(format!("the caller gets {body}; the connection may be reused"));
        if expected.request != request || expected.attempt != attempt || !intact {
            self.lines.push(format!(
                "{VIOLATION}: the caller got an altered answer or that of another send"
            ));
        }
    }

    fn drop_answer(&mut self, error: AnswerError) {
        let label = error.kind().label();
        self.lines.push(format!("dropped: {error}; the connection is closed"));
        if !matches!(error, AnswerError::Unsolicited) {
            self.lines.push(format!("the caller is told unknown ({label})"));
        }
    }

    fn give_up(&mut self) -> Result<(), LineError> {
        let Connection::Waiting(exchange, _) = self.take_connection() else {
            return Err(LineError::InvalidState);
        };
        self.drop_answer(exchange.abandon());
        Ok(())
    }
}

//! Sessions of answers on one connection.

use poplar_core::{
    AnswerError, AnswerHead, AttemptId, Exchange, Expected, Idle, Moment, RequestId, Waiting,
};

use crate::{Fault, Session, VIOLATION, number};

/// Largest answer, in bytes.
const LARGEST: u64 = 64;

enum Connection {
    Idle(Exchange<Idle>),
    Waiting(Exchange<Waiting>, Expected),
    Closed,
}

/// Session of one connection at a time.
pub(crate) struct Answers {
    connection: Connection,
    lines: Vec<String>,
}

impl Default for Answers {
    fn default() -> Self {
        Self { connection: Connection::Closed, lines: Vec::new() }
    }
}

impl Session for Answers {
    fn step(&mut self, _now: Moment, words: &[&str]) -> Result<Vec<String>, Fault> {
        match words {
            ["connect"] => self.connection = Connection::Idle(Exchange::new()),
            ["send", request, "attempt", attempt] => {
                self.send(number(request)?, number(attempt)?)?
            }
            ["answer", request, "attempt", attempt, body] => {
                self.answer(number(request)?, number(attempt)?, body, body)?;
            }
            ["answer", request, "attempt", attempt, body, "as", found] => {
                self.answer(number(request)?, number(attempt)?, body, found)?;
            }
            ["give-up"] => self.give_up()?,
            _ => return Err(Fault::Command),
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

impl Answers {
    fn take(&mut self) -> Connection {
        std::mem::replace(&mut self.connection, Connection::Closed)
    }

    fn send(&mut self, request: u128, attempt: u64) -> Result<(), Fault> {
        let (request, attempt) = (RequestId(request), AttemptId(attempt));
        let expected = Expected { request, attempt, max_length: LARGEST };
        let Connection::Idle(exchange) = self.take() else { return Err(Fault::State) };
        self.connection = Connection::Waiting(exchange.begin(expected), expected);
        Ok(())
    }

    /// An answer made with `body` comes in with the body `found`.
    fn answer(
        &mut self,
        request: u128,
        attempt: u64,
        body: &str,
        found: &str,
    ) -> Result<(), Fault> {
        let (request, attempt) = (RequestId(request), AttemptId(attempt));
        let head = AnswerHead::for_body(request, attempt, 200, body.as_bytes());
        match self.take() {
            Connection::Idle(exchange) => self.drop_answer(exchange.unsolicited()),
            Connection::Waiting(exchange, expected) => {
                match exchange.accept(&head, found.as_bytes()) {
                    Ok((_, exchange)) => {
                        self.connection = Connection::Idle(exchange);
                        self.forward(&expected, request, attempt, body == found, found);
                    }
                    Err(error) => self.drop_answer(error),
                }
            }
            Connection::Closed => return Err(Fault::State),
        }
        Ok(())
    }

    fn forward(
        &mut self,
        expected: &Expected,
        request: RequestId,
        attempt: AttemptId,
        whole: bool,
        body: &str,
    ) {
        self.lines.push(format!("the caller gets {body}; the connection may be reused"));
        if expected.request != request || expected.attempt != attempt || !whole {
            self.lines.push(format!("{VIOLATION}: the caller got what is not its answer"));
        }
    }

    fn drop_answer(&mut self, error: AnswerError) {
        let label = error.kind().label();
        self.lines.push(format!("dropped: {error}; the connection is closed"));
        if !matches!(error, AnswerError::Unsolicited) {
            self.lines.push(format!("the caller is told unknown ({label})"));
        }
    }

    fn give_up(&mut self) -> Result<(), Fault> {
        let Connection::Waiting(exchange, _) = self.take() else { return Err(Fault::State) };
        self.drop_answer(exchange.abandon());
        Ok(())
    }
}

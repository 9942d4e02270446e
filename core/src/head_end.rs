//! Search for the end of a request head, without parsing it.

/// Finder of the end of a request head: the first empty line after a line that is not empty, as
/// in the parser of the server. Bytes are searched once, in any division.
#[derive(Debug, Default)]
pub struct HeadEnd {
    line: Line,
}

/// Place of the next byte in a head.
#[derive(Debug, Default)]
enum Line {
    /// Before the first line that is not empty.
    #[default]
    Leading,
    Inside,
    Begin,
    /// After a carriage return at the begin of a line.
    CarriageReturn,
    /// Behind the head.
    Behind,
}

/// Result of a search for the end of a head.
#[derive(Debug, PartialEq, Eq)]
pub enum HeadSearch {
    /// The head ends behind this many bytes.
    At(usize),
    /// The bytes do not contain the end.
    Not,
    /// An earlier search found the end.
    Before,
}

impl HeadEnd {
    /// Searches `bytes`, which follow those of earlier searches.
    pub fn find(&mut self, bytes: &[u8]) -> HeadSearch {
        let mut idx = 0;
        while let Some(byte) = bytes.get(idx) {
            idx += 1;
            self.line = match (&self.line, byte) {
                (Line::Behind, _) => return HeadSearch::Before,
                (Line::Leading, b'\r' | b'\n') => Line::Leading,
                (Line::Begin | Line::CarriageReturn, b'\n') => {
                    self.line = Line::Behind;
                    return HeadSearch::At(idx);
                }
                (Line::Begin, b'\r') => Line::CarriageReturn,
                (Line::Inside, b'\n') => Line::Begin,
                _ => {
                    let line = &bytes[idx..];
                    idx += line.iter().position(|byte| *byte == b'\n').unwrap_or(line.len());
                    Line::Inside
                }
            };
        }
        HeadSearch::Not
    }
}

//! Life cycle of a process as a typestate, so that no stage can be skipped or entered twice.
//!
//! `Starting -> Serving -> Draining -> Stopped`; each transition consumes the previous stage. The
//! stage is also published on a watch channel, so that concurrent services can observe it.

use std::marker::PhantomData;

use tokio::sync::watch;

/// Stage before the process accepts work.
#[derive(Debug)]
pub struct Starting;

/// Stage in which the process accepts work.
#[derive(Debug)]
pub struct Serving;

/// Stage in which the process finishes the work in flight and accepts no new work.
#[derive(Debug)]
pub struct Draining;

/// Final stage, after all work in flight has ended.
#[derive(Debug)]
pub struct Stopped;

/// Life cycle of a process in stage `S`.
#[derive(Debug)]
pub struct Lifecycle<S> {
    stage: watch::Sender<&'static str>,
    marker: PhantomData<S>,
}

impl Lifecycle<Starting> {
    /// Starts the life cycle, in stage [`Starting`].
    pub fn start() -> Self {
        Self { stage: watch::Sender::new("starting"), marker: PhantomData }
    }

    /// Enters the stage [`Serving`]; the process accepts work from now on.
    pub fn serve(self) -> Lifecycle<Serving> {
        self.advance("serving")
    }
}

impl Lifecycle<Serving> {
    /// Enters the stage [`Draining`]; the process accepts no new work from now on.
    pub fn drain(self) -> Lifecycle<Draining> {
        self.advance("draining")
    }
}

impl Lifecycle<Draining> {
    /// Enters the stage [`Stopped`]; to be called when no work is in flight any more.
    pub fn stop(self) -> Lifecycle<Stopped> {
        self.advance("stopped")
    }
}

impl<S> Lifecycle<S> {
    /// Subscribes to the name of the stage: `starting`, `serving`, `draining` or `stopped`.
    pub fn watch(&self) -> watch::Receiver<&'static str> {
        self.stage.subscribe()
    }

    fn advance<T>(self, name: &'static str) -> Lifecycle<T> {
        self.stage.send_replace(name);
        Lifecycle { stage: self.stage, marker: PhantomData }
    }
}

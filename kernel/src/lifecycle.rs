//! Life cycle of a process as a typestate, so that no step can be skipped or taken twice.
//!
//! `Starting -> Serving -> Draining -> Stopped`; each step consumes the one before. The stage is
//! also published on a watch channel, because services that run concurrently must see it.

use std::marker::PhantomData;

use tokio::sync::watch;

/// Stage before the process serves.
#[derive(Debug)]
pub struct Starting;

/// Stage in which the process takes work.
#[derive(Debug)]
pub struct Serving;

/// Stage in which the process finishes what it has and takes nothing new.
#[derive(Debug)]
pub struct Draining;

/// Last stage.
#[derive(Debug)]
pub struct Stopped;

/// Life of a process in stage `S`.
#[derive(Debug)]
pub struct Lifecycle<S> {
    stage: watch::Sender<&'static str>,
    marker: PhantomData<S>,
}

impl Lifecycle<Starting> {
    /// Begins a life.
    pub fn start() -> Self {
        Self { stage: watch::Sender::new("starting"), marker: PhantomData }
    }

    /// Takes work from now on.
    pub fn serve(self) -> Lifecycle<Serving> {
        self.advance("serving")
    }
}

impl Lifecycle<Serving> {
    /// Takes nothing new from now on.
    pub fn drain(self) -> Lifecycle<Draining> {
        self.advance("draining")
    }
}

impl Lifecycle<Draining> {
    /// Ends; to be called when nothing is in flight any more.
    pub fn stop(self) -> Lifecycle<Stopped> {
        self.advance("stopped")
    }
}

impl<S> Lifecycle<S> {
    /// Channel on which every service sees the stage.
    pub fn watch(&self) -> watch::Receiver<&'static str> {
        self.stage.subscribe()
    }

    fn advance<T>(self, name: &'static str) -> Lifecycle<T> {
        self.stage.send_replace(name);
        Lifecycle { stage: self.stage, marker: PhantomData }
    }
}

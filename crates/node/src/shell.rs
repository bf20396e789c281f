//! The loop: events in, effects out.
//!
//! Invariant: the reducer runs on this loop only, and time is read right
//! before each step.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use control::{CallerId, Effect, Event, Node, Reply};
use model::{Name, Reason, Refusal};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::sync::oneshot;
use tokio::time::{Instant, MissedTickBehavior, interval};
use wire::Frame;

use crate::edge::{Edges, Executors, Platform, Workers};
use crate::log_sink;
use crate::mesh::{self, Keys};
use crate::metrics::{Metrics, Quantiles};
use crate::settings::LogFormat;

/// Period of `Event::Tick`.
const TICK: Duration = Duration::from_millis(20);
/// Events that may wait for the loop.
const MAX_EVENTS: usize = 16_384;
/// Frames that may wait for one peer.
const MAX_FRAMES: usize = 1_024;
/// Time allowed for a worker call beyond the time that the worker may hold it.
const WORKER_TIME: Duration = Duration::from_millis(1_000);
/// Time allowed for reading the VM list.
const VMS_TIME: Duration = Duration::from_millis(1_500);

/// What the HTTP interfaces send to the loop.
pub(crate) enum Input {
    /// A question with the place for its answer.
    Ask(control::Ask, oneshot::Sender<Reply>),
    /// Asks for the metrics.
    Metrics(oneshot::Sender<Vec<Quantiles>>),
    /// Asks whether the balancer may send callers here.
    Ready(oneshot::Sender<bool>),
    /// Asks for a graceful shutdown.
    Shutdown,
}

/// The answer to what comes after the loop has ended.
pub(crate) fn shutting_down() -> Reply {
    let wait = Duration::from_secs(1);
    Reply::Refused(Refusal::temporary(Reason::ShuttingDown, wait))
}

/// The loop's state.
pub(crate) struct Shell<P, W, X> {
    node: Node,
    name: Name,
    edges: Edges<P, W, X>,
    events: (Sender<Event>, Receiver<Event>),
    peers: HashMap<Name, Sender<Frame>>,
    callers: HashMap<CallerId, oneshot::Sender<Reply>>,
    next_caller: CallerId,
    metrics: Metrics,
    log_format: LogFormat,
    store_timeout: Duration,
    started: Instant,
    exit: bool,
}

impl<P, W, X> Shell<P, W, X>
where
    P: Platform,
    W: Workers,
    X: Executors,
{
    /// A shell around a new reducer.
    pub(crate) fn new(
        settings: control::Settings,
        seed: u64,
        edges: Edges<P, W, X>,
        metrics: Metrics,
        log_format: LogFormat,
    ) -> Self {
        Self {
            name: settings.identity.name.clone(),
            store_timeout: settings.timing.store_timeout,
            node: Node::new(settings, seed, Duration::ZERO),
            edges,
            events: channel(MAX_EVENTS),
            peers: HashMap::new(),
            callers: HashMap::new(),
            next_caller: 0,
            metrics,
            log_format,
            started: Instant::now(),
            exit: false,
        }
    }

    /// Where tasks send events.
    pub(crate) fn events(&self) -> Sender<Event> {
        self.events.0.clone()
    }

    /// Starts the task that sends to one peer.
    pub(crate) fn add_peer(&mut self, keys: &Keys, peer: Name, address: SocketAddr) {
        let (sender, receiver) = channel(MAX_FRAMES);
        let task = mesh::dial(
            keys.clone(),
            self.name.clone(),
            peer.clone(),
            address,
            receiver,
            self.events(),
        );
        tokio::spawn(task);
        self.peers.insert(peer, sender);
    }

    /// Runs until the reducer has shut down.
    pub(crate) async fn run(mut self, mut inputs: Receiver<Input>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut effects = Vec::new();
        self.log(&control::Notice::Started(self.name.clone()));
        while !self.exit {
            tokio::select! {
                _ = ticks.tick() => self.step(Event::Tick, &mut effects),
                Some(event) = self.events.1.recv() => self.step(event, &mut effects),
                Some(input) = inputs.recv() => self.input(input, &mut effects),
            }
        }
        // What the reducer has not seen was not run.
        inputs.close();
        while let Some(input) = inputs.recv().await {
            if let Input::Ask(_, answer) = input {
                // A caller that no longer waits needs no answer.
                drop(answer.send(shutting_down()));
            }
        }
    }

    fn step(&mut self, event: Event, effects: &mut Vec<Effect>) {
        let now = self.started.elapsed();
        self.node.step(event, now, effects);
        for effect in effects.drain(..) {
            self.carry_out(effect);
        }
    }

    fn input(&mut self, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::Ask(ask, answer) => {
                self.next_caller += 1;
                let caller = self.next_caller;
                self.callers.insert(caller, answer);
                self.step(Event::Ask { caller, ask }, effects);
                self.forget_gone_callers(effects);
            }
            // A caller that no longer waits needs no answer.
            Input::Metrics(answer) => drop(answer.send(self.metrics.view())),
            Input::Ready(answer) => drop(answer.send(self.node.is_ready())),
            Input::Shutdown => self.step(Event::Shutdown, effects),
        }
    }

    /// Tells the reducer of callers that have gone, now and then.
    fn forget_gone_callers(&mut self, effects: &mut Vec<Effect>) {
        if !self.next_caller.is_multiple_of(64) {
            return;
        }
        let closed = self.callers.iter().filter(|(_, a)| a.is_closed());
        let gone: Vec<CallerId> = closed.map(|(id, _)| *id).collect();
        for caller in gone {
            self.callers.remove(&caller);
            self.step(Event::CallerGone { caller }, effects);
        }
    }

    fn log(&self, notice: &control::Notice) {
        self.metrics.count_event(notice.number());
        log_sink::write(self.log_format, &self.name, notice);
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Reply { caller, reply } => {
                if let Some(answer) = self.callers.remove(&caller) {
                    // A caller that no longer waits needs no answer.
                    drop(answer.send(reply));
                }
            }
            Effect::Send { to, frame } => self.send(&to, frame),
            Effect::Table { id, call } => {
                let (platform, limit) = (self.edges.platform.clone(), self.store_timeout);
                self.spawn(async move {
                    let result = platform.table(call, limit).await;
                    Event::Table { id, result }
                });
            }
            Effect::Worker { id, address, call } => {
                let workers = self.edges.workers.clone();
                self.spawn(async move {
                    let limit = WORKER_TIME + Duration::from_millis(call.wait_ms);
                    let result = workers.call(address, *call, limit).await;
                    Event::Worker { id, result }
                });
            }
            Effect::Execute(execute) => {
                let executors = self.edges.executors.clone();
                self.spawn(async move {
                    let id = execute.id;
                    let result = executors.run(*execute).await;
                    Event::Executed { id, result }
                });
            }
            Effect::ListVms { known } => {
                let platform = self.edges.platform.clone();
                self.spawn(async move { Event::Vms(platform.vms(known, VMS_TIME).await) });
            }
            Effect::Log(notice) => self.log(&notice),
            Effect::Record {
                measure,
                team,
                value,
            } => self.metrics.record(measure, &team, value),
            Effect::Exit => self.exit = true,
        }
    }

    fn spawn<F>(&self, task: F)
    where
        F: Future<Output = Event> + Send + 'static,
    {
        let events = self.events();
        tokio::spawn(async move {
            let event = task.await;
            // The loop has ended when the channel is closed.
            drop(events.send(event).await);
        });
    }

    fn send(&self, to: &Name, frame: Frame) {
        let Some(peer) = self.peers.get(to) else {
            return;
        };
        // A full queue means the peer can't keep up; the frame did not leave.
        if let Err(full) = peer.try_send(frame) {
            let (frame, to, events) = (full.into_inner(), to.clone(), self.events());
            tokio::spawn(async move {
                drop(events.send(Event::Unsent { to, frame }).await);
            });
        }
    }
}

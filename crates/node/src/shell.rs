//! The event loop: passes events to the `control` reducer and performs its effects.
//!
//! Invariant: only this loop calls the reducer, and it reads the clock
//! immediately before each step.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use control::{CallerId, Effect, Event, Node, Reply};
use model::{Name, Reason, Refusal};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::sync::oneshot;
use tokio::time::{Instant, MissedTickBehavior, interval};
use wire::Frame;

use crate::edge::{Executors, OutboundClients, Platform, Workers};
use crate::log_sink;
use crate::mesh::{self, MeshTls};
use crate::metrics::{Metrics, Quantiles};
use crate::settings::LogFormat;

/// Interval between `Event::Tick` events.
const TICK_PERIOD: Duration = Duration::from_millis(20);
/// Number of events that may be queued for the event loop.
const EVENT_QUEUE_CAPACITY: usize = 16_384;
/// Number of frames that may be queued for one peer.
const PEER_QUEUE_CAPACITY: usize = 1_024;
/// Timeout of a worker call, on top of the time for which the worker may
/// hold its response.
const WORKER_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of a read of the VM list.
const VM_LIST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Input from the HTTP servers and the signal handler.
pub(crate) enum Input {
    /// A request to the reducer, with the channel for its reply.
    Request(control::ApiRequest, oneshot::Sender<Reply>),
    /// Reads the quantiles of all histograms.
    Metrics(oneshot::Sender<Vec<Quantiles>>),
    /// Reads whether the load balancer may send callers to this VM.
    Ready(oneshot::Sender<bool>),
    /// Starts a graceful shutdown.
    Shutdown,
}

/// Reply to requests that arrive after the event loop has ended.
pub(crate) fn shutting_down_reply() -> Reply {
    let wait = Duration::from_secs(1);
    Reply::Refused(Refusal::temporary(Reason::ShuttingDown, wait))
}

/// Event loop of one entry VM, with the clients and channels that it uses.
pub(crate) struct EventLoop<P, W, X> {
    node: Node,
    name: Name,
    outbound: OutboundClients<P, W, X>,
    events: (Sender<Event>, Receiver<Event>),
    peers: HashMap<Name, Sender<Frame>>,
    callers: HashMap<CallerId, oneshot::Sender<Reply>>,
    last_caller_id: CallerId,
    metrics: Metrics,
    log_format: LogFormat,
    store_timeout: Duration,
    started_at: Instant,
    exit_requested: bool,
}

impl<P, W, X> EventLoop<P, W, X>
where
    P: Platform,
    W: Workers,
    X: Executors,
{
    /// Creates an event loop with a new reducer.
    pub(crate) fn new(
        settings: control::Settings,
        seed: u64,
        outbound: OutboundClients<P, W, X>,
        metrics: Metrics,
        log_format: LogFormat,
    ) -> Self {
        Self {
            name: settings.identity.name.clone(),
            store_timeout: settings.timing.store_timeout,
            node: Node::new(settings, seed, Duration::ZERO),
            outbound,
            events: channel(EVENT_QUEUE_CAPACITY),
            peers: HashMap::new(),
            callers: HashMap::new(),
            last_caller_id: 0,
            metrics,
            log_format,
            started_at: Instant::now(),
            exit_requested: false,
        }
    }

    /// Returns a sender of events to this loop.
    pub(crate) fn events(&self) -> Sender<Event> {
        self.events.0.clone()
    }

    /// Spawns the task that sends frames to one peer.
    pub(crate) fn add_peer(&mut self, tls: &MeshTls, peer: Name, address: SocketAddr) {
        let (sender, receiver) = channel(PEER_QUEUE_CAPACITY);
        let task = mesh::send_to_peer(
            tls.clone(),
            self.name.clone(),
            peer.clone(),
            address,
            receiver,
            self.events(),
        );
        tokio::spawn(task);
        self.peers.insert(peer, sender);
    }

    /// Runs until the reducer has completed its shutdown.
    pub(crate) async fn run(mut self, mut inputs: Receiver<Input>) {
        let mut ticks = interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut effects = Vec::new();
        self.log(&control::Notice::Started(self.name.clone()));
        while !self.exit_requested {
            tokio::select! {
                _ = ticks.tick() => self.step(Event::Tick, &mut effects),
                Some(event) = self.events.1.recv() => self.step(event, &mut effects),
                Some(input) = inputs.recv() => self.handle_input(input, &mut effects),
            }
        }
        // Requests that never reached the reducer were not run and can be
        // refused.
        inputs.close();
        while let Some(input) = inputs.recv().await {
            if let Input::Request(_, reply_sender) = input {
                // Fails only if the caller has disconnected.
                drop(reply_sender.send(shutting_down_reply()));
            }
        }
    }

    fn step(&mut self, event: Event, effects: &mut Vec<Effect>) {
        let now = self.started_at.elapsed();
        self.node.step(event, now, effects);
        for effect in effects.drain(..) {
            self.perform_effect(effect);
        }
    }

    fn handle_input(&mut self, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::Request(request, reply_sender) => {
                self.last_caller_id += 1;
                let caller = self.last_caller_id;
                self.callers.insert(caller, reply_sender);
                self.step(Event::ApiRequest { caller, request }, effects);
                self.remove_disconnected_callers(effects);
            }
            // Sending fails only if the requester has disconnected.
            Input::Metrics(reply_sender) => drop(reply_sender.send(self.metrics.quantiles())),
            Input::Ready(reply_sender) => drop(reply_sender.send(self.node.is_ready())),
            Input::Shutdown => self.step(Event::Shutdown, effects),
        }
    }

    /// Reports disconnected callers to the reducer, once every 64 requests.
    fn remove_disconnected_callers(&mut self, effects: &mut Vec<Effect>) {
        if !self.last_caller_id.is_multiple_of(64) {
            return;
        }
        let disconnected_entries = self.callers.iter().filter(|(_, sender)| sender.is_closed());
        let disconnected: Vec<CallerId> = disconnected_entries.map(|(id, _)| *id).collect();
        for caller in disconnected {
            self.callers.remove(&caller);
            self.step(Event::CallerDisconnected { caller }, effects);
        }
    }

    fn log(&self, notice: &control::Notice) {
        self.metrics.count_event(notice.number());
        log_sink::write(self.log_format, &self.name, notice);
    }

    fn perform_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Reply { caller, reply } => {
                if let Some(reply_sender) = self.callers.remove(&caller) {
                    // Fails only if the caller has disconnected.
                    drop(reply_sender.send(reply));
                }
            }
            Effect::Send { to, frame } => self.send(&to, frame),
            Effect::Table { id, call } => {
                let (platform, limit) = (self.outbound.platform.clone(), self.store_timeout);
                self.spawn(async move {
                    let result = platform.table(call, limit).await;
                    Event::TableResult { id, result }
                });
            }
            Effect::Worker { id, address, call } => {
                let workers = self.outbound.workers.clone();
                self.spawn(async move {
                    let limit = WORKER_CALL_TIMEOUT + Duration::from_millis(call.wait_ms);
                    let result = workers.call(address, *call, limit).await;
                    Event::WorkerResult { id, result }
                });
            }
            Effect::Execute(execute) => {
                let executors = self.outbound.executors.clone();
                self.spawn(async move {
                    let id = execute.id;
                    let result = executors.run(*execute).await;
                    Event::ExecuteResult { id, result }
                });
            }
            Effect::ListVms { known } => {
                let platform = self.outbound.platform.clone();
                self.spawn(
                    async move { Event::VmList(platform.vms(known, VM_LIST_TIMEOUT).await) },
                );
            }
            Effect::Log(notice) => self.log(&notice),
            Effect::RecordMetric {
                metric,
                team,
                value,
            } => self.metrics.record(metric, &team, value),
            Effect::Exit => self.exit_requested = true,
        }
    }

    fn spawn<F>(&self, task: F)
    where
        F: Future<Output = Event> + Send + 'static,
    {
        let events = self.events();
        tokio::spawn(async move {
            let event = task.await;
            // Fails only if the event loop has ended.
            drop(events.send(event).await);
        });
    }

    fn send(&self, to: &Name, frame: Frame) {
        let Some(peer) = self.peers.get(to) else {
            return;
        };
        // The queue is full because the peer is slow or unreachable; the frame
        // was not sent.
        if let Err(full) = peer.try_send(frame) {
            let (frame, to, events) = (full.into_inner(), to.clone(), self.events());
            tokio::spawn(async move {
                drop(events.send(Event::FrameNotSent { to, frame }).await);
            });
        }
    }
}

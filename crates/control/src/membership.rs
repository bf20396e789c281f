//! Entry VM membership and heartbeats.
//!
//! A heartbeat echoes the last sequence number received from its addressee. The
//! addressee thus knows a time on its own clock after which it was composed.
//!
//! Invariant: a heartbeat older than one already received has no effect.

use std::collections::VecDeque;
use std::time::Duration;

use model::Name;
use wire::{DataCentreLoad, Frame, Heartbeat};

use crate::event::Peer;
use crate::node::Node;
use crate::notice::Notice;
use crate::settings::Identity;

/// Number of sent heartbeats whose send times are retained.
const SENT_WINDOW: usize = 256;

/// State of one peer.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) identity: Identity,
    pub(crate) alive: bool,
    pub(crate) leaving: bool,
    pub(crate) loads: Vec<DataCentreLoad>,
    /// Time on the local clock after which the peer reported
    /// `config_version`.
    pub(crate) confirmed_at: Option<Duration>,
    pub(crate) config_version: u64,
    last_heard_at: Option<Duration>,
    last_seq: u64,
    gone: bool,
    next_heartbeat_at: Duration,
}

/// All peers, with the heartbeats sent to them.
#[derive(Debug)]
pub(crate) struct Members {
    pub(crate) list: Vec<Member>,
    seq: u64,
    sent_heartbeats: VecDeque<(u64, Duration)>,
}

impl Members {
    pub(crate) fn new(peers: &[Identity]) -> Self {
        let member = |identity: &Identity| Member {
            identity: identity.clone(),
            alive: false,
            leaving: false,
            loads: Vec::new(),
            confirmed_at: None,
            config_version: 0,
            last_heard_at: None,
            last_seq: 0,
            gone: false,
            next_heartbeat_at: Duration::ZERO,
        };
        Self {
            list: peers.iter().map(member).collect(),
            seq: 0,
            sent_heartbeats: VecDeque::with_capacity(SENT_WINDOW),
        }
    }

    /// Makes a heartbeat due for every peer.
    pub(crate) fn request_heartbeats(&mut self) {
        for member in &mut self.list {
            member.next_heartbeat_at = Duration::ZERO;
        }
    }

    pub(crate) fn get(&self, name: &Name) -> Option<&Member> {
        self.list.iter().find(|m| m.identity.name == *name)
    }

    /// Records whether the platform's VM list reports a peer as gone.
    pub(crate) fn set_gone(&mut self, name: &Name, gone: bool) {
        let member = self.list.iter_mut().find(|m| m.identity.name == *name);
        member.into_iter().for_each(|m| m.gone = gone);
    }

    /// Returns whether a heartbeat of the peer arrived within `peer_silent`.
    pub(crate) fn is_alive(&self, name: &Name) -> bool {
        self.get(name).is_some_and(|m| m.alive)
    }

    /// Returns the latest time, on the local clock, at which no peer had a
    /// configuration newer than `version`, or `None` if a peer that is not gone
    /// has not confirmed this.
    pub(crate) fn config_confirmed_at(&self, version: u64) -> Option<Duration> {
        let mut oldest = None;
        for member in self.list.iter().filter(|m| !m.gone || m.alive) {
            let at = member
                .confirmed_at
                .filter(|_| member.config_version <= version)?;
            oldest = Some(oldest.map_or(at, |o: Duration| o.min(at)));
        }
        oldest
    }

    pub(crate) fn snapshot(&self) -> Vec<Peer> {
        let peer = |m: &Member| Peer {
            name: m.identity.name.clone(),
            data_centre: m.identity.data_centre.clone(),
            alive: m.alive,
            config: m.config_version,
        };
        self.list.iter().map(peer).collect()
    }

    fn sent_at(&self, seq: u64) -> Option<Duration> {
        let oldest = self.sent_heartbeats.front()?.0;
        let index = seq.checked_sub(oldest)? as usize;
        self.sent_heartbeats.get(index).map(|(_, at)| *at)
    }

    fn next_seq(&mut self, now: Duration) -> u64 {
        self.seq += 1;
        if self.sent_heartbeats.len() == SENT_WINDOW {
            self.sent_heartbeats.pop_front();
        }
        self.sent_heartbeats.push_back((self.seq, now));
        self.seq
    }
}

impl Node {
    /// Sends the heartbeats that are due.
    pub(crate) fn send_heartbeats(&mut self) {
        let now = self.now;
        if self.members.list.iter().all(|m| m.next_heartbeat_at > now) {
            return;
        }
        let seq = self.members.next_seq(now);
        let fresh_at = self.config_fresh_at();
        let heartbeat = Heartbeat {
            seq,
            echo: 0,
            config: self.configuration.config.version,
            fresh_ms: fresh_at.map(|at| now.saturating_sub(at).as_millis() as u64 + 1),
            leaving: self.draining_since.is_some(),
            loads: self.own_load().into_iter().collect(),
        };
        let timing = &self.settings.timing;
        for member in &mut self.members.list {
            if member.next_heartbeat_at > now {
                continue;
            }
            let near = member.identity.data_centre == self.settings.identity.data_centre;
            member.next_heartbeat_at = now + if near { timing.beat } else { timing.beat_far };
            let echo = member.last_seq;
            self.effects.push(crate::Effect::Send {
                to: member.identity.name.clone(),
                frame: Frame::Beat(Heartbeat {
                    echo,
                    ..heartbeat.clone()
                }),
            });
        }
    }

    pub(crate) fn handle_heartbeat(&mut self, from: &Name, heartbeat: Heartbeat) {
        let sent_at = self.members.sent_at(heartbeat.echo);
        let now = self.now;
        let Some(member) = self
            .members
            .list
            .iter_mut()
            .find(|m| m.identity.name == *from)
        else {
            return;
        };
        // A restarted peer counts from one again, and its first heartbeats carry
        // no echo.
        let restarted = heartbeat.echo == 0 && heartbeat.seq < member.last_seq;
        if heartbeat.seq <= member.last_seq && !restarted {
            return;
        }
        member.last_seq = heartbeat.seq;
        member.last_heard_at = Some(now);
        member.config_version = heartbeat.config;
        member.leaving = heartbeat.leaving;
        member.loads = heartbeat.loads;
        member.confirmed_at = sent_at.or(member.confirmed_at.filter(|_| !restarted));
        let was_alive = std::mem::replace(&mut member.alive, true);
        if !was_alive {
            self.log(Notice::PeerAlive(from.clone()));
        }
        let own_version = self.configuration.config.version;
        match sent_at {
            _ if heartbeat.config > own_version => self.send(from, Frame::PullConfig),
            Some(at) if heartbeat.config == own_version => {
                let fresh = heartbeat
                    .fresh_ms
                    .and_then(|ms| at.checked_sub(Duration::from_millis(ms)));
                self.configuration.record_fresh_at(fresh);
            }
            _ => {}
        }
    }

    /// Marks peers as dead that have sent no heartbeat within `peer_silent`.
    pub(crate) fn detect_silent_peers(&mut self) {
        let bound = self.settings.timing.peer_silent;
        let now = self.now;
        let silent = |m: &Member| m.alive && m.last_heard_at.is_none_or(|h| h + bound < now);
        let mut names: Vec<Name> = Vec::new();
        for member in self.members.list.iter_mut().filter(|m| silent(m)) {
            member.alive = false;
            member.loads.clear();
            names.push(member.identity.name.clone());
        }
        for name in names {
            self.log(Notice::PeerSilent(name.clone()));
            self.handle_silent_peer(&name);
        }
    }
}

//! Entry VMs and their signs of life.
//!
//! Each beat echoes the receiver's own counter, so a node knows that what a
//! peer says was composed after a time on the node's own clock.
//!
//! Invariant: a beat that is older than one already seen changes nothing.

use std::collections::VecDeque;
use std::time::Duration;

use model::Name;
use wire::{Beat, Frame, Load};

use crate::event::Peer;
use crate::node::Node;
use crate::notice::Notice;
use crate::settings::Identity;

/// Own beats whose time of sending is remembered.
const SENT: usize = 256;

/// One peer.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) identity: Identity,
    pub(crate) alive: bool,
    pub(crate) leaving: bool,
    pub(crate) loads: Vec<Load>,
    /// Own time after which the peer still had `config`.
    pub(crate) confirmed: Option<Duration>,
    pub(crate) config: u64,
    heard: Option<Duration>,
    seen: u64,
    gone: bool,
    next_beat: Duration,
}

/// All peers.
#[derive(Debug)]
pub(crate) struct Members {
    pub(crate) list: Vec<Member>,
    seq: u64,
    sent: VecDeque<(u64, Duration)>,
}

impl Members {
    pub(crate) fn new(peers: &[Identity]) -> Self {
        let member = |identity: &Identity| Member {
            identity: identity.clone(),
            alive: false,
            leaving: false,
            loads: Vec::new(),
            confirmed: None,
            config: 0,
            heard: None,
            seen: 0,
            gone: false,
            next_beat: Duration::ZERO,
        };
        Self {
            list: peers.iter().map(member).collect(),
            seq: 0,
            sent: VecDeque::with_capacity(SENT),
        }
    }

    /// Makes the next sign of life due for every peer.
    pub(crate) fn beat_now(&mut self) {
        for member in &mut self.list {
            member.next_beat = Duration::ZERO;
        }
    }

    pub(crate) fn get(&self, name: &Name) -> Option<&Member> {
        self.list.iter().find(|m| m.identity.name == *name)
    }

    /// Records what the platform's list says of a peer.
    pub(crate) fn set_gone(&mut self, name: &Name, gone: bool) {
        let member = self.list.iter_mut().find(|m| m.identity.name == *name);
        member.into_iter().for_each(|m| m.gone = gone);
    }

    /// True when the peer was heard within the silence bound.
    pub(crate) fn is_alive(&self, name: &Name) -> bool {
        self.get(name).is_some_and(|m| m.alive)
    }

    /// Latest own time at which no peer had a configuration newer than
    /// `version`; `None` while some peer that is not gone was not heard.
    pub(crate) fn all_confirmed(&self, version: u64) -> Option<Duration> {
        let mut oldest = None;
        for member in self.list.iter().filter(|m| !m.gone || m.alive) {
            let at = member.confirmed.filter(|_| member.config <= version)?;
            oldest = Some(oldest.map_or(at, |o: Duration| o.min(at)));
        }
        oldest
    }

    pub(crate) fn view(&self) -> Vec<Peer> {
        let peer = |m: &Member| Peer {
            name: m.identity.name.clone(),
            data_centre: m.identity.data_centre.clone(),
            alive: m.alive,
            config: m.config,
        };
        self.list.iter().map(peer).collect()
    }

    fn sent_at(&self, seq: u64) -> Option<Duration> {
        let oldest = self.sent.front()?.0;
        let index = seq.checked_sub(oldest)? as usize;
        self.sent.get(index).map(|(_, at)| *at)
    }

    fn next_seq(&mut self, now: Duration) -> u64 {
        self.seq += 1;
        if self.sent.len() == SENT {
            self.sent.pop_front();
        }
        self.sent.push_back((self.seq, now));
        self.seq
    }
}

impl Node {
    /// Sends signs of life that are due.
    pub(crate) fn beat(&mut self) {
        let now = self.now;
        if self.members.list.iter().all(|m| m.next_beat > now) {
            return;
        }
        let seq = self.members.next_seq(now);
        let fresh_at = self.config_fresh_at();
        let beat = Beat {
            seq,
            echo: 0,
            config: self.configuration.config.version,
            fresh_ms: fresh_at.map(|at| now.saturating_sub(at).as_millis() as u64 + 1),
            leaving: self.draining_since.is_some(),
            loads: self.own_load().into_iter().collect(),
        };
        let timing = &self.settings.timing;
        for member in &mut self.members.list {
            if member.next_beat > now {
                continue;
            }
            let near = member.identity.data_centre == self.settings.identity.data_centre;
            member.next_beat = now + if near { timing.beat } else { timing.beat_far };
            let echo = member.seen;
            self.out.push(crate::Effect::Send {
                to: member.identity.name.clone(),
                frame: Frame::Beat(Beat {
                    echo,
                    ..beat.clone()
                }),
            });
        }
    }

    pub(crate) fn on_beat(&mut self, from: &Name, beat: Beat) {
        let sent = self.members.sent_at(beat.echo);
        let now = self.now;
        let Some(member) = self
            .members
            .list
            .iter_mut()
            .find(|m| m.identity.name == *from)
        else {
            return;
        };
        // A restarted peer counts from one again; its first beats echo nothing.
        let restarted = beat.echo == 0 && beat.seq < member.seen;
        if beat.seq <= member.seen && !restarted {
            return;
        }
        member.seen = beat.seq;
        member.heard = Some(now);
        member.config = beat.config;
        member.leaving = beat.leaving;
        member.loads = beat.loads;
        member.confirmed = sent.or(member.confirmed.filter(|_| !restarted));
        let was_alive = std::mem::replace(&mut member.alive, true);
        if !was_alive {
            self.log(Notice::PeerAlive(from.clone()));
        }
        let mine = self.configuration.config.version;
        match sent {
            _ if beat.config > mine => self.send(from, Frame::PullConfig),
            Some(at) if beat.config == mine => {
                let fresh = beat
                    .fresh_ms
                    .and_then(|ms| at.checked_sub(Duration::from_millis(ms)));
                self.configuration.note_fresh(fresh);
            }
            _ => {}
        }
    }

    /// Notices peers that have fallen silent.
    pub(crate) fn watch_peers(&mut self) {
        let bound = self.settings.timing.peer_silent;
        let now = self.now;
        let silent = |m: &Member| m.alive && m.heard.is_none_or(|h| h + bound < now);
        let mut names: Vec<Name> = Vec::new();
        for member in self.members.list.iter_mut().filter(|m| silent(m)) {
            member.alive = false;
            member.loads.clear();
            names.push(member.identity.name.clone());
        }
        for name in names {
            self.log(Notice::PeerSilent(name.clone()));
            self.peer_silent(&name);
        }
    }
}

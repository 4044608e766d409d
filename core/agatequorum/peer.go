package agatequorum

import (
	"slices"
	"time"
)

// mode is how a leader sends the log to a replica.
type mode uint8

const (
	// probing sends one message at a time until the logs agree somewhere.
	probing mode = iota
	// streaming sends without waiting for answers.
	streaming
	// installing sends a snapshot.
	installing
)

// retryBeats is the number of heartbeat intervals without progress after
// which a leader sends again. It must exceed a round trip between regions and
// an fsync.
const retryBeats = 3

// peer is a leader's knowledge of another replica.
type peer struct {
	id   uint64
	mode mode
	// match is the last index known to be durable at the replica, next the
	// next index to send.
	match uint64
	next  uint64
	// inflight holds the last index of each unanswered append message.
	inflight []uint64
	// waits says that a probe or a chunk is unanswered.
	waits bool
	// progress is when the replica last made or was given cause for progress.
	progress time.Duration
	// heard is when a reply last came, acked the send time of the newest
	// message that was answered.
	heard time.Duration
	acked time.Duration
	// round is the newest read round that the replica confirmed.
	round uint64
	// full says that the replica's last write failed.
	full bool
	// goal is the commit index at goalAt that a learner must reach.
	goal   uint64
	goalAt time.Duration
	// snapshot is being sent in mode installing, from offset on.
	snapshot *Snapshot
	offset   uint64
}

func (c *Core) peer(id uint64) *peer {
	for _, p := range c.lead.peers {
		if p.id == id {
			return p
		}
	}
	return nil
}

// updatePeers makes the peers follow the membership in force.
func (c *Core) updatePeers() {
	latest := c.members.latest().members
	peers := make([]*peer, 0, len(latest))
	for _, m := range latest {
		if m.ID == c.cfg.ID {
			continue
		}
		p := c.peer(m.ID)
		if p == nil {
			p = &peer{id: m.ID, next: c.log.last() + 1, heard: c.now, acked: never, progress: c.now}
		}
		peers = append(peers, p)
	}
	c.lead.peers = peers
}

// replicate sends to p what it lacks, as far as its mode allows.
func (c *Core) replicate(p *peer) {
	for c.maySend(p) {
		if p.next <= c.log.base {
			c.startInstall(p)
			return
		}
		c.sendAppend(p)
	}
}

func (c *Core) maySend(p *peer) bool {
	switch p.mode {
	case probing:
		return !p.waits
	case streaming:
		return p.next <= c.log.last() && len(p.inflight) < c.cfg.MaxInflight
	default:
		return false
	}
}

func (c *Core) sendAppend(p *peer) {
	term, _ := c.log.term(p.next - 1)
	entries := c.log.from(p.next, c.cfg.MaxBytes)
	c.send(Message{
		Kind:    MessageAppend,
		To:      p.id,
		Index:   p.next - 1,
		LogTerm: term,
		Entries: entries,
		Commit:  c.commit,
		Time:    c.now,
	}, needNothing)
	if p.mode == probing {
		p.waits = true
		p.progress = c.now
		return
	}
	if len(p.inflight) == 0 {
		p.progress = c.now
	}
	p.next += uint64(len(entries))
	p.inflight = append(p.inflight, p.next-1)
}

// retryPeer sends again when a message or its answer seems to be lost. A
// replica that is silent gets heartbeats only.
func (c *Core) retryPeer(p *peer) {
	if c.now-p.progress < retryBeats*c.cfg.Heartbeat {
		return
	}
	if c.now-p.heard > c.cfg.ElectionMin {
		return
	}
	p.progress = c.now
	switch p.mode {
	case probing:
		p.waits = false
	case streaming:
		if len(p.inflight) > 0 {
			p.probe(p.match + 1)
		}
	case installing:
		c.sendChunk(p)
	}
}

func (p *peer) probe(next uint64) {
	p.mode = probing
	p.next = next
	p.waits = false
	p.inflight = nil
	p.snapshot = nil
}

func (p *peer) stream() {
	p.mode = streaming
	p.next = p.match + 1
	p.waits = false
	p.inflight = nil
	p.snapshot = nil
}

// handleReply handles any reply to a leader's message.
func (c *Core) handleReply(m *Message) {
	if c.role != Leader {
		return
	}
	p := c.peer(m.From)
	if p == nil {
		return
	}
	p.heard = c.now
	p.full = m.Full
	p.acked = max(p.acked, m.Time)
	p.round = max(p.round, m.Round)
	switch m.Kind {
	case MessageAppendReply:
		c.handleAppendReply(p, m)
	case MessageInstallReply:
		c.handleInstallReply(p, m)
	}
	if c.role == Leader {
		c.confirmReads()
	}
}

func (c *Core) handleAppendReply(p *peer, m *Message) {
	if m.Reject {
		c.handleReject(p, m)
		return
	}
	if m.Index <= p.match && p.mode == streaming {
		return
	}
	p.match = max(p.match, m.Index)
	p.progress = c.now
	switch p.mode {
	case probing:
		p.stream()
	case streaming:
		p.next = max(p.next, p.match+1)
		p.inflight = slices.DeleteFunc(p.inflight, func(index uint64) bool { return index <= p.match })
	case installing:
		if p.snapshot != nil && p.match >= p.snapshot.Index {
			p.stream()
		}
	}
	c.advanceCommit()
	if c.role == Leader {
		c.tickTransfer()
	}
}

// handleReject moves next back to where the logs may agree.
func (c *Core) handleReject(p *peer, m *Message) {
	if m.Index <= p.match || p.mode == installing {
		return
	}
	if p.mode == streaming {
		p.probe(p.match + 1)
		return
	}
	if m.Index != p.next-1 {
		return
	}
	hint, _ := c.log.conflictHint(m.Hint, m.HintTerm)
	p.probe(max(p.match, min(hint, m.Index-1)) + 1)
}

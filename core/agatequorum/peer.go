package agatequorum

import (
	"slices"
	"time"
)

// mode is the replication mode of a peer.
type mode uint8

const (
	// probing sends one append message at a time until the leader knows an index
	// at which the logs match.
	probing mode = iota
	// streaming pipelines append messages without waiting for replies.
	streaming
	// installing sends a snapshot in chunks.
	installing
)

// retryHeartbeats is the number of heartbeat intervals without progress after
// which a leader resends. This must be longer than a round trip between regions
// plus an fsync.
const retryHeartbeats = 3

// peer is the replication state that a leader keeps for another replica.
type peer struct {
	id   uint64
	mode mode
	// matchIndex is the last index known to be durable on the replica.
	// nextIndex is the next index to send.
	matchIndex uint64
	nextIndex  uint64
	// inFlight holds the unacknowledged append messages, inFlightBytes the size of
	// their entries.
	inFlight      []sentAppend
	inFlightBytes int
	// awaitingReply is set while a probe is unanswered.
	awaitingReply bool
	// retryTimerStart is the time from which the retry interval counts: the last
	// progress of the replica, or the last send that should lead to progress.
	retryTimerStart time.Duration
	// lastContact is the time of the last reply. ackedSentAt is the send time of
	// the newest message that the replica has answered.
	lastContact time.Duration
	ackedSentAt time.Duration
	// readRound is the newest read round that the replica has confirmed.
	readRound uint64
	// writeFailed is set when the replica's last write failed.
	writeFailed bool
	// catchUpIndex is the commit index at catchUpSetAt. A learner must reach it
	// before it can be promoted.
	catchUpIndex uint64
	catchUpSetAt time.Duration
	// snapshot is sent in mode installing. The replica has the data before offset;
	// the data before nextOffset is sent. chunkResentAt is the time at which the chunk
	// at offset was last sent once more, or never.
	snapshot      *Snapshot
	offset        uint64
	nextOffset    uint64
	chunkResentAt time.Duration
}

// sentAppend is an append message that is not acknowledged yet.
type sentAppend struct {
	lastIndex uint64
	bytes     int // of its entries
}

func (c *Core) peer(id uint64) *peer {
	for _, p := range c.leadership.peers {
		if p.id == id {
			return p
		}
	}
	return nil
}

// updatePeers updates the peers to the latest membership.
func (c *Core) updatePeers() {
	latest := c.memberships.latest().members
	peers := make([]*peer, 0, len(latest))
	for _, m := range latest {
		if m.ID == c.cfg.ID {
			continue
		}
		p := c.peer(m.ID)
		if p == nil {
			p = &peer{id: m.ID, nextIndex: c.log.last() + 1, lastContact: c.now, ackedSentAt: never, retryTimerStart: c.now}
		}
		peers = append(peers, p)
	}
	c.leadership.peers = peers
}

// replicate sends missing entries or a snapshot to p, as far as its mode allows.
func (c *Core) replicate(p *peer) {
	for c.canSend(p) {
		if p.nextIndex <= c.log.base {
			c.startSnapshot(p)
			return
		}
		c.sendAppend(p)
	}
}

func (c *Core) canSend(p *peer) bool {
	switch p.mode {
	case probing:
		return !p.awaitingReply
	case streaming:
		full := len(p.inFlight) >= c.cfg.MaxInFlight || p.inFlightBytes >= c.cfg.maxInFlightBytes()
		return p.nextIndex <= c.log.last() && !full
	default:
		return false
	}
}

func (c *Core) sendAppend(p *peer) {
	term, _ := c.log.term(p.nextIndex - 1)
	entries := c.log.from(p.nextIndex, c.cfg.MaxMessageBytes)
	c.send(Message{
		Kind:    MessageAppend,
		To:      p.id,
		Index:   p.nextIndex - 1,
		LogTerm: term,
		Entries: entries,
		Commit:  c.commitIndex,
		SentAt:  c.now,
	}, requireNothing)
	if p.mode == probing {
		p.awaitingReply = true
		p.retryTimerStart = c.now
		return
	}
	if len(p.inFlight) == 0 {
		p.retryTimerStart = c.now
	}
	p.nextIndex += uint64(len(entries))
	size := EntryBytes(entries...)
	p.inFlight = append(p.inFlight, sentAppend{lastIndex: p.nextIndex - 1, bytes: size})
	p.inFlightBytes += size
}

// retryPeer resends when a message or its reply seems to be lost. Nothing is
// resent to a replica that has not replied for ElectionMin; heartbeats continue.
func (c *Core) retryPeer(p *peer) {
	if c.now-p.retryTimerStart < retryHeartbeats*c.cfg.Heartbeat {
		return
	}
	if c.now-p.lastContact > c.cfg.ElectionMin {
		return
	}
	p.retryTimerStart = c.now
	switch p.mode {
	case probing:
		p.awaitingReply = false
	case streaming:
		if len(p.inFlight) > 0 {
			p.startProbing(p.matchIndex + 1)
		}
	case installing:
		p.nextOffset = p.offset
		p.chunkResentAt = c.now
		c.sendSnapshotChunk(p)
	}
}

func (p *peer) startProbing(next uint64) {
	p.mode = probing
	p.nextIndex = next
	p.reset()
}

func (p *peer) startStreaming() {
	p.mode = streaming
	p.nextIndex = p.matchIndex + 1
	p.reset()
}

// reset clears the state of the previous mode.
func (p *peer) reset() {
	p.awaitingReply = false
	p.inFlight = nil
	p.inFlightBytes = 0
	p.snapshot = nil
}

// acknowledgeInFlight removes the append messages that the replica has acknowledged.
func (p *peer) acknowledgeInFlight() {
	p.inFlight = slices.DeleteFunc(p.inFlight, func(s sentAppend) bool {
		if s.lastIndex > p.matchIndex {
			return false
		}
		p.inFlightBytes -= s.bytes
		return true
	})
}

// handleReply handles a reply to a message of the leader.
func (c *Core) handleReply(m *Message) {
	if c.role != Leader {
		return
	}
	p := c.peer(m.From)
	if p == nil {
		return
	}
	p.lastContact = c.now
	p.writeFailed = m.WriteFailed
	p.ackedSentAt = max(p.ackedSentAt, m.SentAt)
	p.readRound = max(p.readRound, m.ReadRound)
	switch m.Kind {
	case MessageAppendReply:
		c.handleAppendReply(p, m)
	case MessageInstallSnapshotReply:
		c.handleInstallSnapshotReply(p, m)
	}
	if c.role == Leader {
		c.confirmReads()
	}
}

func (c *Core) handleAppendReply(p *peer, m *Message) {
	if m.Reject {
		c.handleAppendReject(p, m)
		return
	}
	if m.Index <= p.matchIndex && p.mode == streaming {
		return
	}
	p.matchIndex = max(p.matchIndex, m.Index)
	p.retryTimerStart = c.now
	switch p.mode {
	case probing:
		p.startStreaming()
	case streaming:
		p.nextIndex = max(p.nextIndex, p.matchIndex+1)
		p.acknowledgeInFlight()
	case installing:
		if p.snapshot != nil && p.matchIndex >= p.snapshot.Index {
			p.startStreaming()
		}
	}
	c.advanceCommit()
	if c.role == Leader {
		c.continueTransfer()
	}
}

// handleAppendReject restarts probing after a rejected append. If a probe was
// rejected, nextIndex moves back to just after the last index at which the logs
// may match. Outdated rejections are ignored.
func (c *Core) handleAppendReject(p *peer, m *Message) {
	if m.Index <= p.matchIndex || p.mode == installing {
		return
	}
	if p.mode == streaming {
		p.startProbing(p.matchIndex + 1)
		return
	}
	if m.Index != p.nextIndex-1 {
		return
	}
	hint, _ := c.log.conflictHint(m.Hint, m.HintTerm)
	p.startProbing(max(p.matchIndex, min(hint, m.Index-1)) + 1)
}

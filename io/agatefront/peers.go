package agatefront

import (
	"sync"
	"time"

	"agategate/core/agatepeer"
	"agategate/io/agatewire"
)

// peers are the other entry hosts that take requests from this one. It is safe for
// concurrent use.
type peers struct {
	mu    sync.Mutex
	table *agatepeer.Table
}

// setPeers replaces the list of peers with the one of a control replica.
func (f *Front) setPeers(rows []*agatewire.PeerRow) {
	var list []agatepeer.Peer
	for _, row := range rows {
		if addr := parseAddr(row.Address); addr.IsValid() {
			list = append(list, agatepeer.Peer{Name: row.Name, Domain: row.Domain, Region: f.cfg.Regions[row.Domain], Address: addr})
		}
	}
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	f.peers.table.Set(list)
}

// start chooses a peer for a request and records that it is forwarded there.
func (p *peers) start(now time.Time, q agatepeer.Query) (agatepeer.Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, ok := p.table.Choose(now, q)
	if ok {
		p.table.Start(peer.Name)
	}
	return peer, ok
}

func (p *peers) finish(now time.Time, name, service string, o agatepeer.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Finish(now, name, service, o)
}

func (p *peers) countByDomain() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.CountByDomain()
}

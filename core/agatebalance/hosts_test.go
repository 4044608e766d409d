package agatebalance_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatebalance"
	"agategate/core/agateplan"
)

// hostsCase is a number of hosts whose lists of each other become short for a while,
// as when control replicas lose streams: each half of the hosts misses the other.
type hostsCase struct {
	hosts int
	short time.Duration // how long the lists are short
}

const (
	hostsBegin    = 2 * time.Second // when the lists become short
	hostsEnd      = 8 * time.Second
	coldRate      = 11.0 // requests per second
	coldBurst     = 5.0
	coldTolerance = 1.5
	hostsMaxConns = 360
	hostsRetries  = 56.0 // per retry window
	retryWindow   = 10 * time.Second
	maxSeedHosts  = 50 // hosts times seeds of a case, which bounds its run time
)

// hostsSim is the state of the simulation of a hostsCase.
type hostsSim struct {
	names  []string
	tables []*agatebalance.Table
	sent   []time.Time // requests to the cold upstream
	// retries is the number of retries of all hosts, conns the largest number of
	// connections that all of them may open.
	retries, conns int
}

func newHostsSim(c hostsCase, seed int, now time.Time) *hostsSim {
	x := &hostsSim{}
	for i := range c.hosts {
		x.names = append(x.names, fmt.Sprintf("h%d", i))
	}
	plan := agateplan.NewIndex(&agateplan.Plan{Services: []agateplan.Service{{Name: "s", WarmupRate: coldRate, MaxConnections: hostsMaxConns}}})
	cold := newInfo(fmt.Sprintf("u%d", seed))
	cold.WarmupLeft = time.Minute
	for _, name := range x.names {
		t := agatebalance.New(agatebalance.Config{
			Host: name, Region: "a", Domain: "a-1", Regions: map[string]string{"a-1": "a"},
			WarmupBurst: coldBurst, RetryRatio: 1e-9, MinRetries: hostsRetries, RetryWindow: retryWindow,
		})
		t.SetPlan(plan)
		t.SetHosts(now, x.names)
		t.UpdateUpstreams(now, []agatebalance.UpstreamInfo{cold}, true, nil)
		x.tables = append(x.tables, t)
	}
	return x
}

// setLists gives each half of the hosts a list without the other half, or the whole
// list.
func (x *hostsSim) setLists(now time.Time, short bool) {
	half := len(x.names) / 2
	for i, t := range x.tables {
		names := x.names
		switch {
		case short && i < half:
			names = x.names[:half]
		case short:
			names = x.names[half:]
		}
		t.SetHosts(now, names)
	}
}

// step lets each host send as many requests and retries as it may.
func (x *hostsSim) step(now time.Time) {
	conns := 0
	for _, t := range x.tables {
		t.ExpireHosts(now)
		for d := choose(t, now, nil); d.Upstream != ""; d = choose(t, now, nil) {
			t.Start(now, d.Upstream)
			t.Finish(now, d.Upstream, agatebalance.Observation{Outcome: agatebalance.Answered, Latency: time.Millisecond})
			x.sent = append(x.sent, now)
		}
		for t.AllowRetry(now, "s") {
			x.retries++
		}
		for _, n := range t.MaxConns() {
			conns += n
		}
	}
	x.conns = max(x.conns, conns)
}

// maxPerSecond is the largest number of requests to the cold upstream in one second.
func (x *hostsSim) maxPerSecond() (n int) {
	first := 0
	for last, at := range x.sent {
		for at.Sub(x.sent[first]) >= time.Second {
			first++
		}
		n = max(n, last-first+1)
	}
	return n
}

// Guards against hosts that take a larger share of what all may use together because
// their lists of hosts are short for a moment: requests to a cold upstream, retries
// and connections.
func TestShortHostListsKeepShares(t *testing.T) {
	for _, c := range []hostsCase{{hosts: 8, short: time.Second}, {hosts: 10, short: 2 * time.Second}, {hosts: 91, short: time.Second}, {hosts: 300, short: 2 * time.Second}} {
		t.Run(fmt.Sprint(c.hosts), func(t *testing.T) {
			for seed := range max(1, maxSeedHosts/c.hosts) {
				begin := time.Unix(1000, 0)
				x := newHostsSim(c, seed, begin)
				for at := time.Duration(0); at < hostsEnd; at += 10 * time.Millisecond {
					switch at {
					case hostsBegin:
						x.setLists(begin.Add(at), true)
					case hostsBegin + c.short:
						x.setLists(begin.Add(at), false)
					}
					x.step(begin.Add(at))
				}
				assert.Check(t, float64(x.maxPerSecond()) <= coldRate*coldTolerance+coldBurst, "seed %d: %d requests to a cold upstream in one second", seed, x.maxPerSecond())
				assert.Check(t, x.conns <= max(hostsMaxConns, 2*c.hosts), "seed %d: %d connections", seed, x.conns)
				assert.Check(t, float64(x.retries) <= max(hostsRetries, float64(c.hosts)), "seed %d: %d retries", seed, x.retries)
			}
		})
	}
}

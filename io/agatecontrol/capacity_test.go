package agatecontrol

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"agategate/io/agateclient"
	"agategate/io/agatesettings"
	"agategate/io/agatewire"
)

// startSingle starts a group of one replica.
func startSingle(b *testing.B) *Control {
	b.Helper()
	peer := netip.MustParseAddrPort("127.97.0.1:9000")
	settings, problems := agatesettings.Load[agatesettings.Control](agatesettings.Source{Flags: map[string]string{
		"name":         "control-1",
		"region":       "centro",
		"domain":       "centro-a",
		"data":         b.TempDir(),
		"peer":         peer.String(),
		"admin":        "127.97.0.1:9001",
		"members":      "control-1=" + peer.String(),
		"tls.insecure": "true",
	}})
	assert.Equal(b, len(problems), 0)
	c, err := Start(Config{Settings: settings})
	assert.NilError(b, err)
	b.Cleanup(c.Kill)
	for !c.isLeader() {
		time.Sleep(time.Millisecond)
	}
	return c
}

// heartbeat returns the heartbeat of host n, with three services in three
// regions.
func heartbeat(n int) *agatewire.BeatAsk {
	req := &agatewire.BeatAsk{
		Sender: &agatewire.Sender{Host: fmt.Sprintf("entry-%d", n), Epoch: 1, Revision: 7},
		Region: "centro",
		Domain: "centro-a",
		Caller: "127.0.0.1:8080",
		Peer:   "127.0.0.1:9000",
	}
	for _, service := range []string{"quotes", "labels", "zones"} {
		for _, region := range []string{"centro", "occidente", "oriente"} {
			req.Usage = append(req.Usage, &agatewire.Usage{Service: service, Region: region, Capacity: 600, Demand: 40, Inflight: 1})
		}
	}
	return req
}

// BenchmarkBeat measures the leader's work for one heartbeat, and the bytes of
// a heartbeat and its reply, by the number of entry hosts. Every thousandth
// heartbeat changes the load of its host. The figures are for docs/CAPACITY.md.
func BenchmarkBeat(b *testing.B) {
	for _, hosts := range []int{10, 470, 4700} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			s := &controlService{c: startSingle(b)}
			reqs := make([]*agatewire.BeatAsk, hosts)
			for i := range reqs {
				reqs[i] = heartbeat(i)
			}
			var sent, received, n int
			send := func(req *agatewire.BeatAsk) {
				reply, err := s.Beat(context.Background(), req)
				if err != nil || reply.Leader != "" {
					b.Fatalf("heartbeat failed: %v, leader %q", err, reply.GetLeader())
				}
				req.View, req.Version = reply.View, reply.Version
				n++
				sent += proto.Size(req)
				received += proto.Size(reply)
			}
			for range 2 {
				for _, req := range reqs {
					send(req)
				}
			}
			sent, received, n = 0, 0, 0
			for b.Loop() {
				req := reqs[n%hosts]
				if n%1000 == 0 {
					req.Load = 0.5 - req.Load
				}
				send(req)
			}
			b.ReportMetric(float64(sent)/float64(n), "ask-bytes")
			b.ReportMetric(float64(received)/float64(n), "reply-bytes")
		})
	}
}

// BenchmarkBeatCall measures a heartbeat over a loopback connection, including
// the work of both ends, for docs/CAPACITY.md.
func BenchmarkBeatCall(b *testing.B) {
	c := startSingle(b)
	client := agateclient.New(agateclient.Config{
		Replicas: []netip.AddrPort{c.cfg.Settings.PeerAddr},
		Dialer:   c.dialer,
		Sender:   c.identity,
	})
	req := heartbeat(1)
	for b.Loop() {
		if _, err := client.Heartbeat(context.Background(), req); err != nil {
			b.Fatal(err)
		}
	}
}

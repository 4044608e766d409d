package agatefront

import (
	"io"
	"net/http"
	"testing"
	"time"

	"agategate/core/agatebalance"
	"agategate/core/agateplan"
	"agategate/io/agatelog"
)

// BenchmarkFinish measures the cost of the log line and the retained decision of
// a request: one that was answered in time and is sampled out, one whose line is
// written, and one above the limit of lines per second.
func BenchmarkFinish(b *testing.B) {
	for _, c := range []struct {
		name   string
		status int
		skip   float64
		lines  int
	}{{"sampled-out", 200, 1, 0}, {"written", 503, 0, 0}, {"beyond-limit", 503, 0, otherLinesPerSecond}} {
		b.Run(c.name, func(b *testing.B) {
			out := agatelog.NewAsyncWriter(io.Discard)
			defer out.Close(time.Second)
			f := &Front{cfg: Config{Log: agatelog.New(agatelog.Config{Output: out, SkipRatio: c.skip})}, table: agatebalance.New(agatebalance.Config{})}
			f.log = f.cfg.Log.Logger()
			f.metrics = newMetrics(f)
			route := &agateplan.Route{Name: "labels", MaxAttempts: 2}
			plan := agateplan.NewIndex(&agateplan.Plan{Version: 3})
			b.ReportAllocs()
			for b.Loop() {
				now := time.Now()
				f.otherLimit = rateLimit{windowStart: now, lines: c.lines}
				p := &proxyRequest{f: f, id: "6054cb6078e33a22", plan: plan, route: route, deadline: now.Add(time.Second), attempts: 1}
				p.criteria.Service = "labels"
				p.lastDecision = agatebalance.Decision{Upstream: "u1", Best: "u1", Reason: agatebalance.ReasonPreferred, Considered: 12}
				p.x = &exchange{received: now, reply: reply{status: c.status, header: http.Header{}}}
				f.finish(p, &p.x.reply)
			}
		})
	}
}

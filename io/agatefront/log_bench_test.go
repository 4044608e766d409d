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

// BenchmarkFinish measures what the log and the kept decision of a request
// cost: of one that was answered in time and is sampled out, of one whose line
// is written, and of one beyond the number of lines a second.
func BenchmarkFinish(b *testing.B) {
	for _, c := range []struct {
		name   string
		status int
		skip   float64
		lines  int
	}{{"sampled-out", 200, 1, 0}, {"written", 503, 0, 0}, {"beyond-limit", 503, 0, otherLines}} {
		b.Run(c.name, func(b *testing.B) {
			out := agatelog.NewAsyncWriter(io.Discard)
			defer out.Close(time.Second)
			f := &Front{cfg: Config{Log: agatelog.New(agatelog.Config{Output: out, SkipRatio: c.skip})}, table: agatebalance.New(agatebalance.Config{})}
			f.log = f.cfg.Log.Logger()
			f.counts = newCounts(f)
			route := &agateplan.Route{Name: "labels", MaxAttempts: 2}
			plan := agateplan.NewIndex(&agateplan.Plan{Version: 3})
			b.ReportAllocs()
			for b.Loop() {
				now := time.Now()
				f.others = limit{begun: now, n: c.lines}
				j := &job{f: f, id: "6054cb6078e33a22", plan: plan, route: route, limit: now.Add(time.Second), attempts: 1}
				j.ask.Service = "labels"
				j.last = agatebalance.Decision{Upstream: "u1", Best: "u1", Reason: agatebalance.ReasonPreferred, Considered: 12}
				j.x = &exchange{at: now, reply: reply{status: c.status, header: http.Header{}}}
				f.finish(j)
			}
		})
	}
}

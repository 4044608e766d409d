package agatelog_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/io/agatelog"
)

func newLog(cfg agatelog.Config) (*agatelog.Log, *bytes.Buffer) {
	var b bytes.Buffer
	cfg.Output = &b
	cfg.Now = func() time.Time { return time.Unix(0, 0).UTC() }
	return agatelog.New(cfg), &b
}

func routeDecision(request string) *agatelog.Decision {
	return &agatelog.Decision{
		Request: request, Service: "quotes", Kind: agatelog.Route, Choice: "quotes-2",
		Reason: "shortest", Outcome: agatelog.Sent, Duration: 1500 * time.Microsecond,
		Candidates: []agatelog.Candidate{{Name: "quotes-1", Note: "draining"}, {Name: "quotes-2", ExpectedLatency: 12 * time.Millisecond}},
	}
}

// Guards against changes of the line format, on which external tools rely.
func TestLineFormat(t *testing.T) {
	l, b := newLog(agatelog.Config{Name: "entry-1"})
	l.Record(routeDecision("r1"))
	assert.Equal(t, b.String(), `1970-01-01T00:00:00.000Z [INFO]  entry-1: decision: req=r1 service=quotes kind=route`+
		` choice=quotes-2 reason=shortest considered="quotes-1:draining quotes-2:12ms" outcome=sent took=1.5ms`+"\n")
	l, b = newLog(agatelog.Config{Name: "entry-1", JSON: true})
	l.Record(routeDecision("r1"))
	var line map[string]string
	assert.NilError(t, json.Unmarshal(b.Bytes(), &line))
	assert.Equal(t, line["considered"], "quotes-1:draining quotes-2:12ms")
	assert.Equal(t, line["took"], "1.5ms")
	assert.Equal(t, line["@level"], "info")
}

// Guards against sampling that skips any decision that is not routine,
// including outcomes added later.
func TestSamplingKeepsNonRoutineDecisions(t *testing.T) {
	l, b := newLog(agatelog.Config{SkipRatio: 1})
	l.Record(routeDecision("routine"))
	for _, change := range []func(d *agatelog.Decision){
		func(d *agatelog.Decision) { d.Action = true },
		func(d *agatelog.Decision) { d.Outcome = agatelog.Refused },
		func(d *agatelog.Decision) { d.Outcome = agatelog.NotRun },
		func(d *agatelog.Decision) { d.Outcome = agatelog.Unknown },
		func(d *agatelog.Decision) { d.Outcome = "added-later" },
		func(d *agatelog.Decision) { d.Kind = agatelog.Overflow },
		func(d *agatelog.Decision) { d.Kind = agatelog.Drain },
		func(d *agatelog.Decision) { d.Kind = agatelog.Retry },
	} {
		d := routeDecision("kept")
		change(d)
		l.Record(d)
	}
	assert.Equal(t, strings.Count(b.String(), "req=kept"), 8)
	assert.Equal(t, strings.Count(b.String(), "req=routine"), 0)
	assert.Equal(t, l.Skipped(), uint64(1))
}

// Guards against a wrong fraction of skipped lines, and against requests of
// which only some lines are written.
func TestSamplingShare(t *testing.T) {
	l, b := newLog(agatelog.Config{SkipRatio: 0.75})
	for i := range 2000 {
		l.Record(routeDecision(fmt.Sprintf("r%d.", i)))
		l.Record(routeDecision(fmt.Sprintf("r%d.", i)))
	}
	written := strings.Count(b.String(), "\n")
	assert.Assert(t, written > 800 && written < 1200, "%d", written)
	for i := range 2000 {
		assert.Assert(t, strings.Count(b.String(), fmt.Sprintf("req=r%d. ", i))%2 == 0)
	}
	b.Reset()
	for range 1000 {
		l.Record(routeDecision(""))
	}
	written = strings.Count(b.String(), "\n")
	assert.Assert(t, written > 200 && written < 300, "%d", written)
	b.Reset()
	l.SetSkipRatio(0)
	l.Record(routeDecision("r"))
	assert.Equal(t, strings.Count(b.String(), "\n"), 1)
}

// Guards against unbounded storage, against routine decisions that displace
// refusals, and against results that share memory with the caller or the ring.
func TestExplain(t *testing.T) {
	l, _ := newLog(agatelog.Config{SkipRatio: 1, RingSize: 8})
	refusal := routeDecision("r0")
	refusal.Outcome = agatelog.Refused
	refusal.Time = time.Unix(1, 0)
	l.Record(refusal)
	l.Record(routeDecision("r0"))
	got := l.Explain("r0")
	assert.Equal(t, len(got), 2)
	assert.Equal(t, got[0].Outcome, agatelog.Sent)
	refusal.Candidates[0].Name = "changed by the caller"
	assert.Equal(t, l.Explain("r0")[1].Candidates[0].Name, "quotes-1")
	for i := range 100 {
		d := routeDecision(fmt.Sprint("x", i))
		d.Candidates[0].Name = "later"
		l.Record(d)
	}
	assert.Equal(t, got[0].Candidates[0].Name, "quotes-1")
	assert.Equal(t, len(l.Explain("r0")), 1)
	// The routine half of the ring holds the last four decisions, x96 to x99.
	assert.Equal(t, len(l.Explain("x99")), 1)
	assert.Equal(t, len(l.Explain("x95")), 0)
	assert.Equal(t, len(l.Explain("none")), 0)
}

// Guards against allocations for decisions that sampling skips.
func TestSkippedDecisionDoesNotAllocate(t *testing.T) {
	l, _ := newLog(agatelog.Config{SkipRatio: 1, RingSize: 4})
	d := routeDecision("r")
	for range 10 {
		l.Record(d)
	}
	assert.Equal(t, testing.AllocsPerRun(100, func() { l.Record(d) }), 0.0)
}

// Guards against decisions that mix up requests under concurrent use.
func TestConcurrentUse(t *testing.T) {
	l, _ := newLog(agatelog.Config{RingSize: 64})
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			id := fmt.Sprint("g", g)
			for range 200 {
				l.Record(routeDecision(id))
				for _, d := range l.Explain(id) {
					assert.Check(t, d.Request == id && len(d.Candidates) == 2)
				}
				l.SetSkipRatio(0.5)
			}
		})
	}
	wg.Wait()
}

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

func routed(request string) *agatelog.Decision {
	return &agatelog.Decision{
		Request: request, Service: "quotes", Kind: agatelog.Route, Choice: "quotes-2",
		Reason: "shortest", Outcome: agatelog.Sent, Took: 1500 * time.Microsecond,
		Considered: []agatelog.Candidate{{Name: "quotes-1", Note: "draining"}, {Name: "quotes-2", Cost: 12 * time.Millisecond}},
	}
}

// The field names are an interface for tools and must not change.
func TestLineFormat(t *testing.T) {
	l, b := newLog(agatelog.Config{Name: "entry-1"})
	l.Record(routed("r1"))
	assert.Equal(t, b.String(), `1970-01-01T00:00:00.000Z [INFO]  entry-1: decision: req=r1 service=quotes kind=route`+
		` choice=quotes-2 reason=shortest considered="quotes-1:draining quotes-2:12ms" outcome=sent took=1.5ms`+"\n")
	l, b = newLog(agatelog.Config{Name: "entry-1", JSON: true})
	l.Record(routed("r1"))
	var line map[string]string
	assert.NilError(t, json.Unmarshal(b.Bytes(), &line))
	assert.Equal(t, line["considered"], "quotes-1:draining quotes-2:12ms")
	assert.Equal(t, line["took"], "1.5ms")
	assert.Equal(t, line["@level"], "info")
}

// Sampling must never hide a refusal, an action or a shift.
func TestSamplingKeepsWhatMatters(t *testing.T) {
	l, b := newLog(agatelog.Config{Skip: 1})
	l.Record(routed("routine"))
	for _, change := range []func(d *agatelog.Decision){
		func(d *agatelog.Decision) { d.Action = true },
		func(d *agatelog.Decision) { d.Outcome = agatelog.Refused },
		func(d *agatelog.Decision) { d.Outcome = agatelog.NotRun },
		func(d *agatelog.Decision) { d.Outcome = agatelog.Unknown },
		func(d *agatelog.Decision) { d.Outcome = "added-later" },
		func(d *agatelog.Decision) { d.Kind = agatelog.Shift },
		func(d *agatelog.Decision) { d.Kind = agatelog.Drain },
		func(d *agatelog.Decision) { d.Kind = agatelog.Retry },
	} {
		d := routed("kept")
		change(d)
		l.Record(d)
	}
	assert.Equal(t, strings.Count(b.String(), "req=kept"), 8)
	assert.Equal(t, strings.Count(b.String(), "req=routine"), 0)
	assert.Equal(t, l.Skipped(), uint64(1))
}

// The share of skipped lines must follow the setting, and one request must be
// written as a whole or not at all.
func TestSamplingShare(t *testing.T) {
	l, b := newLog(agatelog.Config{Skip: 0.75})
	for i := range 2000 {
		l.Record(routed(fmt.Sprintf("r%d.", i)))
		l.Record(routed(fmt.Sprintf("r%d.", i)))
	}
	written := strings.Count(b.String(), "\n")
	assert.Assert(t, written > 800 && written < 1200, "%d", written)
	for i := range 2000 {
		assert.Assert(t, strings.Count(b.String(), fmt.Sprintf("req=r%d. ", i))%2 == 0)
	}
	b.Reset()
	for range 1000 {
		l.Record(routed(""))
	}
	written = strings.Count(b.String(), "\n")
	assert.Assert(t, written > 200 && written < 300, "%d", written)
	b.Reset()
	l.SetSkip(0)
	l.Record(routed("r"))
	assert.Equal(t, strings.Count(b.String(), "\n"), 1)
}

// The ring must stay bounded, and routine decisions must not displace
// refusals.
func TestExplain(t *testing.T) {
	l, _ := newLog(agatelog.Config{Skip: 1, Ring: 8})
	refusal := routed("r0")
	refusal.Outcome = agatelog.Refused
	refusal.Time = time.Unix(1, 0)
	l.Record(refusal)
	l.Record(routed("r0"))
	got := l.Explain("r0")
	assert.Equal(t, len(got), 2)
	assert.Equal(t, got[0].Outcome, agatelog.Sent)
	refusal.Considered[0].Name = "changed by the caller"
	assert.Equal(t, l.Explain("r0")[1].Considered[0].Name, "quotes-1")
	for i := range 100 {
		d := routed(fmt.Sprint("x", i))
		d.Considered[0].Name = "later"
		l.Record(d)
	}
	assert.Equal(t, got[0].Considered[0].Name, "quotes-1")
	assert.Equal(t, len(l.Explain("r0")), 1)
	assert.Equal(t, len(l.Explain("x99")), 1)
	assert.Equal(t, len(l.Explain("x95")), 0)
	assert.Equal(t, len(l.Explain("none")), 0)
}

// A decision that is sampled out must not allocate.
func TestSkippedDecisionDoesNotAllocate(t *testing.T) {
	l, _ := newLog(agatelog.Config{Skip: 1, Ring: 4})
	d := routed("r")
	for range 10 {
		l.Record(d)
	}
	assert.Equal(t, testing.AllocsPerRun(100, func() { l.Record(d) }), 0.0)
}

// Concurrent use must not mix up the decisions of requests.
func TestConcurrentUse(t *testing.T) {
	l, _ := newLog(agatelog.Config{Ring: 64})
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			id := fmt.Sprint("g", g)
			for range 200 {
				l.Record(routed(id))
				for _, d := range l.Explain(id) {
					assert.Check(t, d.Request == id && len(d.Considered) == 2)
				}
				l.SetSkip(0.5)
			}
		})
	}
	wg.Wait()
}

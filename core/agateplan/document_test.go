package agateplan_test

import (
	"bytes"
	"compress/flate"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agateplan"
)

// manyRoutes returns a plan with n routes. Multiples of large primes give names
// that compress poorly.
func manyRoutes(n int) *agateplan.Plan {
	p := &agateplan.Plan{Version: 1, Services: []agateplan.Service{{Name: "stock", MaxConnections: 40}}}
	for i := range n {
		if i%50 == 0 {
			p.VirtualHosts = append(p.VirtualHosts, agateplan.VirtualHost{Name: fmt.Sprintf("shop%x.example", 7919*i)})
		}
		h := &p.VirtualHosts[len(p.VirtualHosts)-1]
		h.Routes = append(h.Routes, agateplan.Route{
			Name:        fmt.Sprintf("r-%x", 104729*(i+1)),
			Prefix:      fmt.Sprintf("/%x/", 15485863*(i+1)),
			Timeout:     3 * time.Second,
			Target:      250 * time.Millisecond,
			MaxAttempts: 2,
			Services:    []agateplan.WeightedService{{Service: "stock", Weight: 1}},
		})
	}
	return p
}

// Guards against packed plans that take too long to reach hosts with slow links:
// over 2 Mbit/s, a plan with 3,000 routes, about the size that deployments have,
// must arrive within 0.3 s.
func TestPackedPlanIsSmall(t *testing.T) {
	p := manyRoutes(3000)
	packed, err := p.Pack()
	assert.NilError(t, err)
	const maxBytes = 2_000_000 / 8 * 3 / 10
	assert.Assert(t, len(packed) <= maxBytes, "%d bytes", len(packed))
	unpacked, err := agateplan.Unpack(packed)
	assert.NilError(t, err)
	assert.DeepEqual(t, unpacked, p)
}

// Guards against applying a truncated plan, and against running out of memory on a
// malicious one (a decompression bomb).
func TestUnpackRefuses(t *testing.T) {
	packed, err := manyRoutes(10).Pack()
	assert.NilError(t, err)
	for n := range packed {
		_, err := agateplan.Unpack(packed[:n])
		assert.Assert(t, err != nil, "%d of %d bytes", n, len(packed))
	}
	var bomb bytes.Buffer
	w, err := flate.NewWriter(&bomb, flate.BestCompression)
	assert.NilError(t, err)
	for range 64 {
		_, err := w.Write(make([]byte, 1<<20))
		assert.NilError(t, err)
	}
	assert.NilError(t, w.Close())
	_, err = agateplan.Unpack(bomb.Bytes())
	assert.ErrorContains(t, err, "too large")
}

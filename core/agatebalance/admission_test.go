package agatebalance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against limits that are not a number while a home region had no requests
// for a minute and its counts have decayed to 0: the limits would not apply until
// its next request.
func TestHomeSharesAfterPause(t *testing.T) {
	var h homeShares
	now := time.Unix(1, 0)
	flood := func() (accepted int) {
		for range 1000 {
			now = now.Add(time.Millisecond)
			h.arrive(now, "full", false)
			h.arrive(now, "free", true)
			if h.accept("free") {
				accepted++
			}
		}
		return accepted
	}
	first := flood()
	assert.Assert(t, first < 200, "%d of 1000 accepted", first)
	now = now.Add(time.Minute)
	assert.Equal(t, flood(), first)
	assert.Equal(t, len(h.homes), 2)
}

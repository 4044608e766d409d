package agatefront

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatebalance"
	"agategate/io/agatelog"
	"agategate/io/agateupstream"
)

// Guards against an upstream that is ejected, or links that are checked, because a
// caller left before its request was written.
func TestCallerThatLeftIsNoFailure(t *testing.T) {
	f := &Front{headers: Headers{}.withDefaults()}
	left := &agateupstream.Result{Kind: agateupstream.NotWritten, Err: agateupstream.ErrWriteRejected}
	assert.Equal(t, f.observation(left).Outcome, agatebalance.Canceled)
	unreachable := &agateupstream.Result{Kind: agateupstream.NotWritten}
	assert.Equal(t, f.observation(unreachable).Outcome, agatebalance.NotSent)
}

// Guards against a caller that has its reply and asks for the decisions on its request
// before they are retained.
func TestDecisionIsRetainedBeforeReply(t *testing.T) {
	const storeTime = 50 * time.Millisecond
	f := &Front{headers: Headers{}.withDefaults(), table: agatebalance.New(agatebalance.Config{})}
	f.cfg.Log = agatelog.New(agatelog.Config{Output: io.Discard, Now: func() time.Time {
		time.Sleep(storeTime)
		return time.Now()
	}})
	f.log = f.cfg.Log.Logger()
	f.metrics = newMetrics(f)
	req, err := http.NewRequest(http.MethodGet, "http://shop.example/", nil)
	assert.NilError(t, err)
	req.Header.Set(f.headers.RequestID, "id-1")
	x := &exchange{req: req, received: time.Now(), done: make(chan struct{}), rejected: &reply{status: http.StatusBadRequest}}
	go f.handle(&conn{}, x)
	<-x.done
	assert.Equal(t, len(f.cfg.Log.Explain("id-1")), 1)
}

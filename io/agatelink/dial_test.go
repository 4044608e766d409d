package agatelink

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// testConn counts the connections that are open.
type testConn struct {
	net.Conn
	open *atomic.Int32
}

func (c testConn) Close() error {
	c.open.Add(-1)
	return nil
}

// Guards against a connection attempt that began before the peer host was up and
// delays the group for as long as the attempt lasts.
func TestDialRepeatedly(t *testing.T) {
	const upAt, limit = 130 * time.Millisecond, 400 * time.Millisecond
	errRefused := errors.New("refused")
	tests := []struct {
		name   string
		upAt   time.Duration // attempts that start before it hang
		slow   time.Duration // time that the others take
		refuse bool
		took   time.Duration
		err    error
	}{
		{name: "up", took: 0},
		{name: "boots", upAt: upAt, took: 200 * time.Millisecond},
		{name: "slow", slow: 250 * time.Millisecond, took: 250 * time.Millisecond},
		{name: "refuses", refuse: true, err: errRefused},
		{name: "down", upAt: time.Hour, took: limit, err: context.DeadlineExceeded},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var open atomic.Int32
				start := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), limit)
				defer cancel()
				conn, err := dialRepeatedly(ctx, func(ctx context.Context) (net.Conn, error) {
					if c.refuse {
						return nil, errRefused
					}
					if time.Since(start) < c.upAt {
						<-ctx.Done()
						return nil, ctx.Err()
					}
					time.Sleep(c.slow)
					open.Add(1)
					return testConn{open: &open}, nil
				})
				assert.Equal(t, time.Since(start), c.took)
				assert.Assert(t, errors.Is(err, c.err))
				assert.Equal(t, conn != nil, c.err == nil)
				time.Sleep(time.Second)
				synctest.Wait()
				want := int32(0)
				if c.err == nil {
					want = 1
				}
				assert.Equal(t, open.Load(), want)
			})
		})
	}
}

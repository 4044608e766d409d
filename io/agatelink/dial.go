package agatelink

import (
	"context"
	"net"
	"time"
)

// attemptInterval is the time between two attempts to connect while none is answered.
// A SYN to a host that is not up yet is lost, and the kernel sends it again only after
// 1 s. After a power failure of all hosts that would delay the whole group.
const attemptInterval = 100 * time.Millisecond

// dialResult is the result of one attempt to connect.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialRepeatedly connects by the first successful of several attempts, which start
// every attemptInterval. It fails with the first error, so that an attempt that is
// refused ends it, or when ctx is done.
func dialRepeatedly(ctx context.Context, dial func(ctx context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan dialResult)
	pending := 0
	start := func() {
		pending++
		go func() {
			c, err := dial(ctx)
			results <- dialResult{c, err}
		}()
	}
	start()
	tick := time.NewTicker(attemptInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			start()
		case r := <-results:
			cancel()
			go closeLate(results, pending-1)
			return r.conn, r.err
		}
	}
}

// closeLate receives the results of the other attempts and closes their connections.
func closeLate(results <-chan dialResult, pending int) {
	for range pending {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close() // it carried nothing
		}
	}
}

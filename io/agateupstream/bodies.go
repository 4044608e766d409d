package agateupstream

import (
	"context"
	"errors"
	"io"
	"math"
	"sync"
	"time"

	"agategate/internal/agatebuffer"
)

const (
	// unboundedBodyMultiple is how many times larger than the largest complete body of
	// its service a body without a declared length may become, but at least
	// minUnboundedBodyBytes, once minCompleteBodies are known. Beyond that it is taken
	// for one without end, unless no other one of the service is.
	unboundedBodyMultiple = 16
	minUnboundedBodyBytes = 256 << 10
	minCompleteBodies     = 16
)

var errEndlessBody = errors.New("agateupstream: response body without a length grows far beyond earlier ones")

// bodies bounds the response bodies of each service. Bytes that are no response may come
// without end. It is safe for concurrent use.
type bodies struct {
	mu       sync.Mutex
	services map[string]*serviceBodies // by Call.Service
}

// serviceBodies is what is known about the response bodies of a service.
type serviceBodies struct {
	complete int   // number of complete bodies, up to minCompleteBodies
	largest  int64 // size of the largest complete body
	// exceeding is the one body that may exceed the limit of those without a length. If
	// it turns out to be complete, the limit was too low.
	exceeding *bodyReader
}

func newBodies() *bodies { return &bodies{services: map[string]*serviceBodies{}} }

// bodyReader reads one body.
type bodyReader struct {
	service   string
	unbounded bool // the body has no declared length
	charge    *agatebuffer.Charge
	deadline  time.Time
	abort     func()            // interrupts a read
	stream    func(part []byte) // gets each part as it arrives; may be nil
	size      int64             // bytes that have been read
	free      []byte            // the rest of the last block of a streamed body
}

// read reads a whole body of at most limit bytes. It reads no faster than the account has
// room, and returns the body unless it is streamed. r.abort interrupts a read from another
// goroutine.
func (b *bodies) read(ctx context.Context, body io.Reader, limit int64, r *bodyReader) (*agatebuffer.Buffer, error) {
	defer b.remove(r)
	arrival := r.charge.ReceiveResponse(r.abort)
	out, err := b.readAll(ctx, body, limit, r, arrival)
	if err != nil {
		if arrival.GaveWay() {
			err = agatebuffer.ErrFull
		}
		arrival.Drop()
		return nil, err
	}
	arrival.Keep()
	b.recordComplete(r)
	return out, nil
}

func (b *bodies) readAll(ctx context.Context, body io.Reader, limit int64, r *bodyReader, arrival *agatebuffer.Arrival) (*agatebuffer.Buffer, error) {
	out := &agatebuffer.Buffer{}
	for {
		part, err := b.readPart(ctx, body, r, out, arrival)
		r.size += int64(len(part))
		switch {
		case r.size > limit:
			return nil, errBodySize
		case b.endless(r):
			return nil, errEndlessBody
		case err == nil, errors.Is(err, io.EOF):
			if r.stream != nil && len(part) > 0 {
				r.stream(part)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return out, nil
		case err != nil:
			return nil, err
		}
	}
}

// readPart reads the next part of a body into out, which keeps nothing of a streamed one.
func (b *bodies) readPart(ctx context.Context, body io.Reader, r *bodyReader, out *agatebuffer.Buffer, arrival *agatebuffer.Arrival) ([]byte, error) {
	if r.stream != nil {
		return r.readStreamed(ctx, body)
	}
	block, err := out.Room(func(n int64) error { return arrival.GrowResponse(ctx, r.deadline, n) })
	if err != nil {
		return nil, err
	}
	n, err := body.Read(block)
	return out.Extend(n), err
}

// readStreamed reads the next part of a streamed body. Small parts share a block, which
// stays charged until the receiver has released all of its bytes.
func (r *bodyReader) readStreamed(ctx context.Context, body io.Reader) ([]byte, error) {
	if len(r.free) == 0 {
		if err := r.charge.GrowStream(ctx, r.deadline, agatebuffer.StreamBlockBytes); err != nil {
			return nil, err
		}
		r.free = make([]byte, agatebuffer.StreamBlockBytes)
	}
	n, err := body.Read(r.free)
	part := r.free[:n:n]
	r.free = r.free[n:]
	if err != nil {
		r.charge.Shrink(int64(len(r.free)))
	}
	return part, err
}

// endless reports whether a body without a declared length is taken for one without end.
func (b *bodies) endless(r *bodyReader) bool {
	if !r.unbounded {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return r.size > b.unboundedLimit(r)
}

func (b *bodies) remove(r *bodyReader) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.services[r.service]; s != nil && s.exceeding == r {
		s.exceeding = nil
	}
}

// recordComplete records the size of a complete body.
func (b *bodies) recordComplete(r *bodyReader) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[r.service]
	if s == nil {
		s = &serviceBodies{}
		b.services[r.service] = s
	}
	s.complete = min(s.complete+1, minCompleteBodies)
	s.largest = max(s.largest, r.size)
}

// unboundedLimit is the maximum size of a body without a declared length. b.mu must be
// held.
func (b *bodies) unboundedLimit(r *bodyReader) int64 {
	s := b.services[r.service]
	if s == nil || s.complete < minCompleteBodies {
		return math.MaxInt64
	}
	limit := max(minUnboundedBodyBytes, unboundedBodyMultiple*s.largest)
	if r.size > limit && s.exceeding == nil {
		s.exceeding = r
	}
	if s.exceeding == r {
		return math.MaxInt64
	}
	return limit
}

package agateupstream

import (
	"errors"
	"io"
	"math"
	"sync"
)

const (
	// unboundedBodyMultiple is how many times larger than the largest complete body of
	// its service a body without a declared length may become, but at least
	// minUnboundedBodyBytes, once minCompleteBodies are known. Beyond that it is taken
	// for one without end, unless no other one of the service is.
	unboundedBodyMultiple = 16
	minUnboundedBodyBytes = 256 << 10
	minCompleteBodies     = 16
	// initialBodyBytes is the initial size of the buffer of a body.
	initialBodyBytes = 512
)

var (
	errTotalBodySize = errors.New("agateupstream: too many bytes of response bodies in memory")
	errEndlessBody   = errors.New("agateupstream: response body without a length grows far beyond earlier ones")
)

// bodies bounds the response bodies that are being read. Bytes that are no response may
// come without end, from several upstreams at once. It is safe for concurrent use.
type bodies struct {
	maxTotal int64

	mu       sync.Mutex
	total    int64
	reading  map[*bodyReader]struct{}
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

func newBodies(maxTotal int64) *bodies {
	return &bodies{maxTotal: maxTotal, reading: map[*bodyReader]struct{}{}, services: map[string]*serviceBodies{}}
}

// bodyReader reads one body. Its fields are guarded by bodies.mu.
type bodyReader struct {
	service   string
	unbounded bool // the body has no declared length
	size      int64
	yielded   bool              // the body was given up for others
	abort     func()            // interrupts a read
	stream    func(part []byte) // gets each part as it arrives; may be nil
}

// read reads a whole body of at most limit bytes. r.abort interrupts the read from
// another goroutine. If the bodies of all calls exceed the total, the largest one is
// given up.
func (b *bodies) read(body io.Reader, limit int64, r *bodyReader) ([]byte, error) {
	b.mu.Lock()
	b.reading[r] = struct{}{}
	b.mu.Unlock()
	defer b.remove(r)
	out := make([]byte, 0, initialBodyBytes)
	for {
		if len(out) == cap(out) {
			out = append(out, 0)[:len(out)] // grows the buffer
		}
		n, err := body.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		if err := b.grow(r, int64(n)); err != nil {
			return nil, err
		}
		if r.stream != nil && n > 0 {
			r.stream(out[len(out)-n:])
		}
		switch {
		case int64(len(out)) > limit:
			return nil, errBodySize
		case errors.Is(err, io.EOF):
			b.recordComplete(r)
			return out, nil
		case err != nil:
			return out, err
		}
	}
}

// grow adds n bytes to a body. It returns an error if the body is given up.
func (b *bodies) grow(r *bodyReader, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.yielded {
		return errTotalBodySize
	}
	r.size += n
	b.total += n
	for b.total > b.maxTotal {
		largest := r
		for other := range b.reading {
			if !other.yielded && other.size > largest.size {
				largest = other
			}
		}
		largest.yielded = true
		b.total -= largest.size
		largest.size = 0
		if largest == r {
			return errTotalBodySize
		}
		largest.abort()
	}
	if r.unbounded && r.size > b.unboundedLimit(r) {
		return errEndlessBody
	}
	return nil
}

func (b *bodies) remove(r *bodyReader) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total -= r.size
	delete(b.reading, r)
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

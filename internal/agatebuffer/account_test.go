package agatebuffer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// script runs the lines of a file on one account. Sizes are in KiB.
//
//	account SIZE HOLDERS          creates the account
//	receive ARRIVAL HOLDER        a body of a request begins
//	respond ARRIVAL HOLDER        a body of a response begins
//	grow ARRIVAL SIZE -> RESULT   bytes arrive: "ok", "full", "late" after the deadline, or "waits"
//	stream HOLDER SIZE -> RESULT  the same for a streamed response
//	result ARRIVAL -> RESULT      the result of a grow that waited
//	keep|drop ARRIVAL             ends the arrival
//	end HOLDER                    ends the charge of the holder
//	gave ARRIVAL -> yes|no        whether it had to give way
//	rest DURATION                 time passes
//	usage -> SIZE                 what is charged
type script struct {
	account  *Account
	charges  map[string]*Charge // by holder
	arrivals map[string]*Arrival
	interim  map[string]bool // responses
	results  map[string]chan error
}

// scriptDeadline is the deadline of responses that wait for room.
const scriptDeadline = 10 * time.Second

func (s *script) charge(holder string) *Charge {
	if s.charges[holder] == nil {
		s.charges[holder] = s.account.Open().Begin()
	}
	return s.charges[holder]
}

func (s *script) exec(t *testing.T, f []string) string {
	size := func(text string) int64 {
		n, err := strconv.ParseInt(text, 10, 64)
		assert.NilError(t, err)
		return n << 10
	}
	switch f[0] {
	case "account":
		s.account = New(Config{Bytes: size(f[1]), Holders: int(size(f[2]) >> 10)})
	case "receive":
		s.arrivals[f[1]] = s.charge(f[2]).Receive(func() {})
	case "respond":
		s.interim[f[1]] = true
		s.arrivals[f[1]] = s.charge(f[2]).ReceiveResponse(func() {})
	case "grow":
		r, n := s.arrivals[f[1]], size(f[2])
		if s.interim[f[1]] {
			return s.run(f[1], func() error { return r.GrowResponse(t.Context(), time.Now().Add(scriptDeadline), n) })
		}
		return s.run(f[1], func() error { return r.Grow(n) })
	case "stream":
		return s.run(f[1], func() error {
			return s.charge(f[1]).GrowStream(t.Context(), time.Now().Add(scriptDeadline), size(f[2]))
		})
	case "result":
		return s.result(f[1])
	case "keep":
		s.arrivals[f[1]].Keep()
	case "drop":
		s.arrivals[f[1]].Drop()
	case "end":
		s.charges[f[1]].End()
		delete(s.charges, f[1])
	case "gave":
		return map[bool]string{true: "yes", false: "no"}[s.arrivals[f[1]].GaveWay()]
	case "rest":
		d, err := time.ParseDuration(f[1])
		assert.NilError(t, err)
		time.Sleep(d) // virtual time
	case "usage":
		used, _ := s.account.Usage()
		return strconv.FormatInt(used>>10, 10)
	default:
		t.Fatalf("unknown verb %q", f[0])
	}
	return ""
}

func (s *script) run(name string, grow func() error) string {
	done := make(chan error, 1)
	s.results[name] = done
	go func() { done <- grow() }()
	return s.result(name)
}

func (s *script) result(name string) string {
	synctest.Wait()
	select {
	case err := <-s.results[name]:
		switch {
		case err == nil:
			return "ok"
		case errors.Is(err, ErrFull):
			return "full"
		case errors.Is(err, context.DeadlineExceeded):
			return "late"
		}
		return err.Error()
	default:
		return "waits"
	}
}

// Runs the scripts in testdata. The comments of a script state the failures that it guards
// against.
func TestAccount(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			assert.NilError(t, err)
			synctest.Test(t, func(t *testing.T) {
				s := &script{charges: map[string]*Charge{}, arrivals: map[string]*Arrival{}, interim: map[string]bool{}, results: map[string]chan error{}}
				for n, line := range strings.Split(string(text), "\n") {
					if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
						continue
					}
					command, want, _ := strings.Cut(line, "->")
					got := s.exec(t, strings.Fields(command))
					assert.Equal(t, got, strings.TrimSpace(want), "%s:%d: %s", file, n+1, line)
				}
			})
		})
	}
}

// Compares the account with the sums of what its arrivals and charges hold, over random
// steps of one goroutine. Guards against bytes that stay charged for ever, which would
// close the account slowly, against more bytes than it has, and against the refusal of
// what fits into a reserve.
func TestAccountSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const holders = 4
		a := New(Config{Bytes: 400 << 10, Holders: holders})
		type held struct {
			charge         *Charge
			arrival        *Arrival // nil if none
			kept, arriving int64
		}
		var all [holders]held
		for i := range all {
			all[i].charge = a.Open().Begin()
		}
		drop := func(h *held) {
			h.arrival.Drop()
			h.arrival, h.arriving = nil, 0
		}
		t.Repeat(map[string]func(*rapid.T){
			"receive": func(t *rapid.T) {
				h := &all[rapid.IntRange(0, holders-1).Draw(t, "holder")]
				if h.arrival == nil {
					h.arrival = h.charge.Receive(func() {})
				}
			},
			"grow": func(t *rapid.T) {
				h := &all[rapid.IntRange(0, holders-1).Draw(t, "holder")]
				n := rapid.Int64Range(1, 64<<10).Draw(t, "bytes")
				if h.arrival == nil {
					return
				}
				mayWait := false
				for i := range all {
					mayWait = mayWait || all[i].arrival != nil && &all[i] != h && all[i].arriving+all[i].kept > h.arriving+h.kept+n
				}
				fits := h.arriving+h.kept+n <= a.reserve
				if mayWait && !fits {
					return // a body of one goroutine would wait for others for ever
				}
				switch err := h.arrival.Grow(n); {
				case err == nil:
					h.arriving += n
				case fits:
					t.Fatalf("%d bytes inside the reserve: %v", n, err)
				default:
					drop(h)
				}
			},
			"keep": func(t *rapid.T) {
				h := &all[rapid.IntRange(0, holders-1).Draw(t, "holder")]
				if h.arrival != nil {
					h.arrival.Keep()
					h.arrival, h.kept, h.arriving = nil, h.kept+h.arriving, 0
				}
			},
			"drop": func(t *rapid.T) {
				if h := &all[rapid.IntRange(0, holders-1).Draw(t, "holder")]; h.arrival != nil {
					drop(h)
				}
			},
			"end": func(t *rapid.T) {
				h := &all[rapid.IntRange(0, holders-1).Draw(t, "holder")]
				h.charge.End()
				if h.arrival != nil {
					drop(h)
				}
				*h = held{charge: a.Open().Begin()}
			},
			"": func(t *rapid.T) {
				sum, beyond := int64(0), int64(0)
				for i := range all {
					n := all[i].kept + all[i].arriving
					sum += n
					beyond += max(0, n-a.reserve)
				}
				used, _ := a.Usage()
				if used != sum || a.used != beyond || a.used > a.common {
					t.Fatalf("charged %d, %d beyond reserves, instead of %d and %d of %d", used, a.used, sum, beyond, a.common)
				}
			},
		})
	})
}

// Guards against bodies that are changed by their blocks, whatever the sizes of the reads.
func TestRead(t *testing.T) {
	body := make([]byte, 300<<10)
	for i := range body {
		body[i] = byte(i * 7 / 3)
	}
	for _, size := range []int{0, 1, 511, 512, 513, 4096, 70000, len(body)} {
		for name, reader := range map[string]io.Reader{
			"whole": bytes.NewReader(body[:size]), "halves": iotest.HalfReader(bytes.NewReader(body[:size])),
			"end with data": iotest.DataErrReader(bytes.NewReader(body[:size])),
		} {
			a := New(Config{Bytes: 1 << 20, Holders: 1})
			charge := a.Open().Begin()
			b, err := Read(reader, int64(size), charge.Receive(func() {}))
			assert.NilError(t, err, name)
			assert.Equal(t, b.Len(), int64(size))
			assert.Assert(t, bytes.Equal(b.Bytes(), body[:size]), "%s of %d bytes", name, size)
			used, _ := a.Usage()
			assert.Assert(t, used >= int64(size) && used <= int64(size)+largestBlockBytes+firstBlockBytes, "%d charged for %d", used, size)
			joined, err := b.Join(charge)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(joined, body[:size]), "%s of %d bytes", name, size)
			used, _ = a.Usage()
			assert.Assert(t, used >= int64(size) && used <= int64(size)+firstBlockBytes, "%d charged for %d", used, size)
			if size > 0 {
				_, err = Read(bytes.NewReader(body[:size]), int64(size-1), charge.Receive(func() {}))
				assert.Assert(t, errors.Is(err, ErrTooLarge))
			}
			charge.End()
			used, _ = a.Usage()
			assert.Equal(t, used, int64(0))
		}
	}
}

// Guards against bodies that are read to their end and refused each time they come again,
// although the account holds nothing else.
func TestLargestBodyIsRead(t *testing.T) {
	a := New(Config{Bytes: 1 << 20, Holders: 4096})
	charge := a.Open().Begin()
	assert.NilError(t, charge.Grow(10<<10)) // the head
	b, err := Read(bytes.NewReader(make([]byte, a.Largest())), a.Largest(), charge.Receive(func() {}))
	assert.NilError(t, err)
	assert.Equal(t, b.Len(), a.Largest())
}

// Package agatebuffer is the account of the bytes that a process buffers for others:
// heads and bodies of requests, responses, and messages of other processes. It is charged
// while the bytes arrive, and bounds their sum, whoever holds them.
//
// Each connection has a Holder with a small reserve of its own. What it needs beyond that
// comes from a part that all holders have in common, so that no small request fails
// because of large ones. When the common part is used up, the largest body that is still
// arriving gives way to smaller ones; responses, whose requests have run, wait for room.
// Charge is what one request is charged for, Arrival a body that is being read, and Buffer
// one in memory.
//
// # Usage
//
//	account := agatebuffer.New(agatebuffer.Config{Bytes: memory / 2, Holders: maxConns})
//	holder := account.Open() // for each connection
//
//	charge := holder.Begin() // for each request
//	defer charge.End()
//	arrival := charge.Receive(func() { _ = conn.SetReadDeadline(time.Now()) })
//	body, err := agatebuffer.Read(req.Body, maxBytes, arrival)
//	if errors.Is(err, agatebuffer.ErrFull) {
//		// refuse the request: it has not run
//	}
package agatebuffer

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrFull reports that there is no room for the bytes of a request, or that it gave way to
// smaller ones. They are not buffered.
var ErrFull = errors.New("agatebuffer: no memory for more bytes")

// Defaults of Config.
const (
	DefaultBytes   = 256 << 20
	DefaultHolders = 4096
)

// FieldBytes is what a parsed header field takes in memory besides its text.
const FieldBytes = 128

const (
	// reserveShare is the part of the account that is divided among the holders.
	reserveShare = 0.25
	// minReserve holds a small request and one part of a streamed response.
	minReserve = 12 << 10
	// streamShare is the part of the common bytes that streamed responses may use: they
	// can be read from the upstream later, other bytes cannot.
	streamShare = 0.5
	// giveWayDelay is how long responses wait for room before the largest one that is
	// being read is given up, as they may all wait for each other.
	giveWayDelay = 250 * time.Millisecond
)

// Config configures an Account.
type Config struct {
	// Bytes is the size of the account. The default is 256 MiB.
	Bytes int64
	// Holders is the number of holders among which the reserve is divided, the maximum
	// number of connections. The default is 4,096.
	Holders int
}

// Account is the account of a process. It is safe for concurrent use.
type Account struct {
	reserve int64 // bytes of each holder that need no room in the common part
	common  int64 // size of the common part

	mu       sync.Mutex
	changed  *sync.Cond // by mu
	used     int64      // bytes of the common part in use
	held     int64      // bytes of all holders
	refusals int64
	arriving map[*Arrival]struct{} // what may have to give way
}

// New returns an account without holders.
func New(cfg Config) *Account {
	if cfg.Bytes <= 0 {
		cfg.Bytes = DefaultBytes
	}
	if cfg.Holders <= 0 {
		cfg.Holders = DefaultHolders
	}
	reserved := int64(reserveShare * float64(cfg.Bytes))
	a := &Account{
		reserve:  max(minReserve, reserved/int64(cfg.Holders)),
		common:   cfg.Bytes - reserved,
		arriving: map[*Arrival]struct{}{},
	}
	a.changed = sync.NewCond(&a.mu)
	return a
}

// Usage returns the number of bytes that are charged, and the number of requests that
// were refused for lack of room.
func (a *Account) Usage() (bytes, refusals int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held, a.refusals
}

// Largest returns the size of the largest body that the account can hold, if it holds no
// other one. The last block of a body may be larger than what is left of it.
func (a *Account) Largest() int64 { return max(0, a.common-largestBlockBytes) }

// Open returns a new holder. It needs no release: when its charges have ended, nothing is
// left of it.
func (a *Account) Open() *Holder { return &Holder{account: a} }

// Holder is one connection, which has a reserve. It is safe for concurrent use.
type Holder struct {
	account *Account
	held    int64 // by account.mu
}

// Begin returns a charge of the holder. End must be called to release it.
func (h *Holder) Begin() *Charge { return &Charge{holder: h} }

// fits reports whether there is room for n more bytes if the common part is used up to
// limit.
func (h *Holder) fits(n, limit int64) bool {
	need := h.beyondReserve(n)
	return need == 0 || h.account.used+need <= limit
}

// add charges n bytes, or releases them if n is negative.
func (h *Holder) add(n int64) {
	a := h.account
	a.used += h.beyondReserve(n)
	a.held += n
	h.held += n
	if n < 0 {
		a.changed.Broadcast()
	}
}

// beyondReserve returns how much more of the common part the holder uses with n more bytes.
func (h *Holder) beyondReserve(n int64) int64 {
	return max(0, h.held+n-h.account.reserve) - max(0, h.held-h.account.reserve)
}

// Charge is what one request is charged for. It is safe for concurrent use.
type Charge struct {
	holder *Holder
	// Both are guarded by the account's mutex.
	bytes int64
	ended bool
}

// Grow charges n bytes that need not arrive any more, such as a head. It returns ErrFull
// if there is no room.
func (c *Charge) Grow(n int64) error {
	a := c.holder.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.ended || !c.holder.fits(n, a.common) {
		return a.refuse()
	}
	c.holder.add(n)
	c.bytes += n
	return nil
}

// Shrink releases n bytes.
func (c *Charge) Shrink(n int64) {
	a := c.holder.account
	a.mu.Lock()
	defer a.mu.Unlock()
	n = min(n, c.bytes)
	c.holder.add(-n)
	c.bytes -= n
}

// End releases all bytes. Bytes that arrive later are not kept.
func (c *Charge) End() {
	a := c.holder.account
	a.mu.Lock()
	defer a.mu.Unlock()
	c.holder.add(-c.bytes)
	c.bytes, c.ended = 0, true
}

// Receive begins a body of a request. giveWay is called if it has to give way to others:
// it must interrupt the reading without blocking, and must not call the account.
func (c *Charge) Receive(giveWay func()) *Arrival { return c.receive(giveWay, false) }

// ReceiveResponse begins the body of a response, which gives way only if no request can.
func (c *Charge) ReceiveResponse(giveWay func()) *Arrival { return c.receive(giveWay, true) }

func (c *Charge) receive(giveWay func(), response bool) *Arrival {
	r := &Arrival{charge: c, giveWay: giveWay, response: response}
	a := c.holder.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arriving[r] = struct{}{}
	return r
}

// Arrival is a body that is being read. Keep or Drop must be called at its end; giveWay is
// not called after they return.
type Arrival struct {
	charge   *Charge
	giveWay  func()
	response bool
	// All three are guarded by the account's mutex.
	bytes   int64
	gaveWay bool
	ended   bool
}

// GaveWay reports whether the body had to give way to others.
func (r *Arrival) GaveWay() bool {
	a := r.account()
	a.mu.Lock()
	defer a.mu.Unlock()
	return r.gaveWay
}

func (r *Arrival) account() *Account { return r.charge.holder.account }

// Keep ends the arrival. The bytes stay charged until the charge ends.
func (r *Arrival) Keep() { r.end(true) }

// Drop ends the arrival and releases its bytes.
func (r *Arrival) Drop() { r.end(false) }

func (r *Arrival) end(keep bool) {
	a := r.account()
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.arriving, r)
	if keep && !r.charge.ended {
		r.charge.bytes += r.bytes
	} else {
		r.charge.holder.add(-r.bytes)
	}
	r.bytes, r.ended = 0, true
	a.changed.Broadcast() // what waits for it to give way would wait in vain
}

// Grow charges n bytes of a request before they are read. If there is no room, it waits
// while larger requests give way, and returns ErrFull if there are none.
func (r *Arrival) Grow(n int64) error {
	a := r.account()
	h := r.charge.holder
	a.mu.Lock()
	defer a.mu.Unlock()
	for !r.over() {
		if h.fits(n, a.common) {
			r.add(n)
			return nil
		}
		if !a.makeRoom(h.beyondReserve(n), h.held+n) {
			break
		}
		a.changed.Wait()
	}
	return a.refuse()
}

// over reports whether nothing more may be charged. A nil Arrival is never over.
func (r *Arrival) over() bool { return r != nil && (r.gaveWay || r.ended) }

func (r *Arrival) add(n int64) {
	r.charge.holder.add(n)
	r.bytes += n
}

// Shrink releases n bytes, which have been passed on.
func (r *Arrival) Shrink(n int64) {
	a := r.account()
	a.mu.Lock()
	defer a.mu.Unlock()
	r.add(-min(n, r.bytes))
}

// GrowResponse charges n bytes of a response before they are read. If there is no room, it
// waits until requests that are arriving have given way or other bytes are released, at
// most until end or until ctx is done. It returns ErrFull if the response has to give way
// to others.
func (r *Arrival) GrowResponse(ctx context.Context, end time.Time, n int64) error {
	a := r.account()
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.await(ctx, end, r.charge.holder, n, a.common, r); err != nil {
		return err
	}
	r.add(n)
	return nil
}

// GrowStream charges n bytes of a response that is passed on while it is read. It leaves a
// part of the account to others. If there is no room, it waits until other bytes are
// released, at most until end or until ctx is done.
func (c *Charge) GrowStream(ctx context.Context, end time.Time, n int64) error {
	a := c.holder.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.await(ctx, end, c.holder, n, int64(streamShare*float64(a.common)), nil); err != nil {
		return err
	}
	if c.ended {
		return a.refuse()
	}
	c.holder.add(n)
	c.bytes += n
	return nil
}

// await waits until the common part has room up to limit for n bytes of a holder, which
// are those of r if it is not nil.
func (a *Account) await(ctx context.Context, end time.Time, h *Holder, n, limit int64, r *Arrival) error {
	if h.fits(n, limit) && !r.over() {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	defer context.AfterFunc(ctx, a.wake)()
	late := time.Now().Add(giveWayDelay)
	wake := time.AfterFunc(giveWayDelay, a.wake)
	defer wake.Stop()
	for !r.over() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if h.fits(n, limit) {
			return nil
		}
		if r != nil && !a.makeRoom(h.beyondReserve(n), 0) && !time.Now().Before(late) {
			a.displaceResponse()
			late = time.Now().Add(giveWayDelay)
			wake.Reset(giveWayDelay)
			continue
		}
		a.changed.Wait()
	}
	return a.refuse()
}

// wake lets all that wait for room check again.
func (a *Account) wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.changed.Broadcast()
}

func (a *Account) refuse() error {
	a.refusals++
	return ErrFull
}

// makeRoom has the largest requests that are arriving give way until need bytes of the
// common part are free, if their holders hold more than size bytes each. It reports false
// if they do not suffice.
func (a *Account) makeRoom(need, size int64) bool {
	free := a.common - a.used
	for r := range a.arriving {
		if r.gaveWay {
			free += r.bytes
		}
	}
	for free < need {
		r := a.largestArriving(false)
		if r == nil || r.charge.holder.held <= size {
			return false
		}
		free += r.bytes
		a.displace(r)
	}
	return true
}

// displaceResponse has the largest response that is being read give way.
func (a *Account) displaceResponse() {
	if r := a.largestArriving(true); r != nil {
		a.displace(r)
	}
}

// largestArriving returns the arrival whose holder holds most, among the requests or the
// responses that have not given way.
func (a *Account) largestArriving(response bool) *Arrival {
	var largest *Arrival
	for r := range a.arriving {
		if r.response == response && !r.gaveWay && (largest == nil || r.charge.holder.held > largest.charge.holder.held) {
			largest = r
		}
	}
	return largest
}

func (a *Account) displace(r *Arrival) {
	r.gaveWay = true
	r.giveWay()
	a.changed.Broadcast() // it may wait for room itself
}

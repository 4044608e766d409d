package agatestate

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed is wrapped by errors about bytes that are not a valid command or
// result of this version.
var ErrMalformed = errors.New("agatestate: malformed")

// codecVersion is the first byte of each command and result. A command of an
// unknown version gets the verdict Invalid.
const codecVersion = 1

var (
	encoder = mustMode(cbor.CoreDetEncOptions().EncMode())
	decoder = mustMode(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode())
)

func mustMode[T any](v T, err error) T {
	if err != nil {
		panic(fmt.Sprintf("agatestate: cbor options: %v", err))
	}
	return v
}

// The wire types define the CBOR encoding. Their fields have the names and the
// order of those of the exported types, so that Go can convert one type into
// the other.
type (
	wireCommand struct {
		Now           int64              `cbor:"1,keyasint,omitempty"`
		Configure     *wireConfigure     `cbor:"2,keyasint,omitempty"`
		Claim         *wireClaim         `cbor:"3,keyasint,omitempty"`
		Finish        *wireFinish        `cbor:"4,keyasint,omitempty"`
		Release       *wireRelease       `cbor:"5,keyasint,omitempty"`
		Refuse        *wireRefuse        `cbor:"6,keyasint,omitempty"`
		Expire        *wireExpire        `cbor:"7,keyasint,omitempty"`
		Death         *wireDeath         `cbor:"8,keyasint,omitempty"`
		Probe         *wireProbe         `cbor:"9,keyasint,omitempty"`
		EndProbe      *wireEndProbe      `cbor:"10,keyasint,omitempty"`
		Limits        *wireLimits        `cbor:"11,keyasint,omitempty"`
		Announce      *wireAnnounce      `cbor:"12,keyasint,omitempty"`
		Evacuate      *wireEvacuate      `cbor:"13,keyasint,omitempty"`
		ClearSuspects *wireClearSuspects `cbor:"14,keyasint,omitempty"`
	}
	wireConfigure struct {
		ChangeID string `cbor:"1,keyasint"`
		Base     uint64 `cbor:"2,keyasint,omitempty"`
		Document []byte `cbor:"3,keyasint,omitempty"`
		Operator string `cbor:"4,keyasint,omitempty"`
	}
	wireClaim struct {
		Service     string        `cbor:"1,keyasint"`
		Key         string        `cbor:"2,keyasint"`
		PayloadHash PayloadHash   `cbor:"3,keyasint"`
		Holder      string        `cbor:"4,keyasint"`
		Epoch       uint64        `cbor:"5,keyasint,omitempty"`
		Token       Token         `cbor:"6,keyasint"`
		Timeout     time.Duration `cbor:"7,keyasint"`
		SeenIndex   uint64        `cbor:"8,keyasint,omitempty"`
	}
	wireFinish struct {
		Service string     `cbor:"1,keyasint"`
		Key     string     `cbor:"2,keyasint"`
		Token   Token      `cbor:"3,keyasint"`
		Answer  wireAnswer `cbor:"4,keyasint"`
	}
	wireAnswer struct {
		Status int               `cbor:"1,keyasint,omitempty"`
		Header []wireHeaderField `cbor:"2,keyasint,omitempty"`
		Body   []byte            `cbor:"3,keyasint,omitempty"`
	}
	wireHeaderField struct {
		_     struct{} `cbor:",toarray"`
		Name  string
		Value string
	}
	wireRelease struct {
		Service     string      `cbor:"1,keyasint"`
		Key         string      `cbor:"2,keyasint"`
		PayloadHash PayloadHash `cbor:"3,keyasint"`
		Token       Token       `cbor:"4,keyasint"`
	}
	wireRefuse struct {
		Service     string      `cbor:"1,keyasint"`
		Key         string      `cbor:"2,keyasint"`
		PayloadHash PayloadHash `cbor:"3,keyasint"`
	}
	wireExpire struct {
		Limit int `cbor:"1,keyasint,omitempty"`
	}
	wireDeath struct {
		Host         string        `cbor:"1,keyasint,omitempty"`
		Upstream     string        `cbor:"2,keyasint"`
		Incarnation  uint64        `cbor:"3,keyasint,omitempty"`
		Fingerprints []Fingerprint `cbor:"4,keyasint,omitempty"`
	}
	wireProbe struct {
		Fingerprint Fingerprint   `cbor:"1,keyasint"`
		Upstream    string        `cbor:"2,keyasint"`
		Incarnation uint64        `cbor:"3,keyasint,omitempty"`
		Holder      string        `cbor:"4,keyasint"`
		Token       Token         `cbor:"5,keyasint"`
		Timeout     time.Duration `cbor:"6,keyasint"`
	}
	wireEndProbe struct {
		Fingerprint Fingerprint  `cbor:"1,keyasint"`
		Token       Token        `cbor:"2,keyasint"`
		Outcome     ProbeOutcome `cbor:"3,keyasint"`
	}
	wireLimits struct {
		Retention      time.Duration `cbor:"1,keyasint"`
		MaxRecords     int           `cbor:"2,keyasint"`
		MaxBytes       int           `cbor:"3,keyasint"`
		MaxAnswerBytes int           `cbor:"4,keyasint"`
	}
	wireAnnounce struct {
		Upstreams []wireUpstream `cbor:"1,keyasint"`
	}
	wireUpstream struct {
		ID          string         `cbor:"1,keyasint"`
		Service     string         `cbor:"2,keyasint,omitempty"`
		Address     netip.AddrPort `cbor:"3,keyasint"`
		Domain      string         `cbor:"4,keyasint,omitempty"`
		Slots       int            `cbor:"5,keyasint,omitempty"`
		StartedAtMs int64          `cbor:"6,keyasint,omitempty"`
		Sequence    uint64         `cbor:"7,keyasint,omitempty"`
		Draining    bool           `cbor:"8,keyasint,omitempty"`
		Gone        bool           `cbor:"9,keyasint,omitempty"`
		WarmupLeft  time.Duration  `cbor:"10,keyasint,omitempty"`
		Expired     bool           `cbor:"11,keyasint,omitempty"`
		Ordinal     int            `cbor:"12,keyasint,omitempty"`
	}
	wireClearSuspects struct {
		Fingerprints []Fingerprint `cbor:"1,keyasint"`
	}
	wireEvacuate struct {
		Domain string `cbor:"1,keyasint"`
		On     bool   `cbor:"2,keyasint,omitempty"`
	}
	wireResult struct {
		Verdict    Verdict       `cbor:"1,keyasint"`
		Index      uint64        `cbor:"2,keyasint,omitempty"`
		RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
		Revision   uint64        `cbor:"4,keyasint,omitempty"`
		ChangeID   string        `cbor:"5,keyasint,omitempty"`
		Operator   string        `cbor:"6,keyasint,omitempty"`
		Answer     *wireAnswer   `cbor:"7,keyasint,omitempty"`
		Ran        bool          `cbor:"8,keyasint,omitempty"`
		Count      int           `cbor:"9,keyasint,omitempty"`
	}
)

// Encode returns the encoding of a command for the replicated log.
func Encode(c Command) []byte {
	w := wireCommand{
		Now:           c.Now,
		Configure:     (*wireConfigure)(c.Configure),
		Claim:         (*wireClaim)(c.Claim),
		Release:       (*wireRelease)(c.Release),
		Refuse:        (*wireRefuse)(c.Refuse),
		Expire:        (*wireExpire)(c.Expire),
		Death:         (*wireDeath)(c.Death),
		Probe:         (*wireProbe)(c.Probe),
		EndProbe:      (*wireEndProbe)(c.EndProbe),
		Limits:        (*wireLimits)(c.Limits),
		Evacuate:      (*wireEvacuate)(c.Evacuate),
		ClearSuspects: (*wireClearSuspects)(c.ClearSuspects),
	}
	if f := c.Finish; f != nil {
		w.Finish = &wireFinish{Service: f.Service, Key: f.Key, Token: f.Token, Answer: *toWire(&f.Answer)}
	}
	if a := c.Announce; a != nil {
		w.Announce = &wireAnnounce{}
		for _, u := range a.Upstreams {
			w.Announce.Upstreams = append(w.Announce.Upstreams, wireUpstream(u))
		}
	}
	return marshal(w)
}

// Decode decodes a command. Errors wrap ErrMalformed.
func Decode(b []byte) (Command, error) {
	var w wireCommand
	if err := unmarshal(b, &w); err != nil {
		return Command{}, err
	}
	c := Command{
		Now:           w.Now,
		Configure:     (*Configure)(w.Configure),
		Claim:         (*Claim)(w.Claim),
		Release:       (*Release)(w.Release),
		Refuse:        (*Refuse)(w.Refuse),
		Expire:        (*Expire)(w.Expire),
		Death:         (*Death)(w.Death),
		Probe:         (*Probe)(w.Probe),
		EndProbe:      (*EndProbe)(w.EndProbe),
		Limits:        (*Limits)(w.Limits),
		Evacuate:      (*Evacuate)(w.Evacuate),
		ClearSuspects: (*ClearSuspects)(w.ClearSuspects),
	}
	if f := w.Finish; f != nil {
		c.Finish = &Finish{Service: f.Service, Key: f.Key, Token: f.Token, Answer: *fromWire(&f.Answer)}
	}
	if a := w.Announce; a != nil {
		c.Announce = &Announce{}
		for _, u := range a.Upstreams {
			c.Announce.Upstreams = append(c.Announce.Upstreams, Upstream(u))
		}
	}
	if !c.valid() {
		return Command{}, fmt.Errorf("%w: want exactly one command with all fields within the limits", ErrMalformed)
	}
	return c, nil
}

// SetClock validates an encoded command from an entry host and replaces its
// clock reading by now, so that only the clocks of control hosts advance the
// state time. Errors wrap ErrMalformed.
func SetClock(b []byte, now time.Time) ([]byte, error) {
	c, err := Decode(b)
	if err != nil {
		return nil, err
	}
	c.Now = now.UnixMilli()
	return Encode(c), nil
}

// valid reports whether exactly one command is set and all its fields are
// within the limits.
func (c *Command) valid() bool {
	sets, good := 0, 0
	count := func(set bool, valid func() bool) {
		if !set {
			return
		}
		sets++
		if valid() {
			good++
		}
	}
	count(c.Configure != nil, c.Configure.valid)
	count(c.Claim != nil, c.Claim.valid)
	count(c.Finish != nil, c.Finish.valid)
	count(c.Release != nil, c.Release.valid)
	count(c.Refuse != nil, c.Refuse.valid)
	count(c.Expire != nil, c.Expire.valid)
	count(c.Death != nil, c.Death.valid)
	count(c.Probe != nil, c.Probe.valid)
	count(c.EndProbe != nil, c.EndProbe.valid)
	count(c.Limits != nil, c.Limits.valid)
	count(c.Announce != nil, c.Announce.valid)
	count(c.Evacuate != nil, c.Evacuate.valid)
	count(c.ClearSuspects != nil, c.ClearSuspects.valid)
	return sets == 1 && good == 1
}

// encodeResult returns the encoding of a result, as returned by Apply.
func encodeResult(r Result) []byte {
	return marshal(wireResult{
		Verdict:    r.Verdict,
		Index:      r.Index,
		RetryAfter: r.RetryAfter,
		Revision:   r.Revision,
		ChangeID:   r.ChangeID,
		Operator:   r.Operator,
		Answer:     toWire(r.Answer),
		Ran:        r.Ran,
		Count:      r.Count,
	})
}

// DecodeResult decodes a result that Apply returned. Errors wrap ErrMalformed.
func DecodeResult(b []byte) (Result, error) {
	var w wireResult
	if err := unmarshal(b, &w); err != nil {
		return Result{}, err
	}
	return Result{
		Verdict:    w.Verdict,
		Index:      w.Index,
		RetryAfter: w.RetryAfter,
		Revision:   w.Revision,
		ChangeID:   w.ChangeID,
		Operator:   w.Operator,
		Answer:     fromWire(w.Answer),
		Ran:        w.Ran,
		Count:      w.Count,
	}, nil
}

func toWire(a *Answer) *wireAnswer {
	if a == nil {
		return nil
	}
	w := &wireAnswer{Status: a.Status, Body: a.Body}
	for _, f := range a.Header {
		w.Header = append(w.Header, wireHeaderField{Name: f.Name, Value: f.Value})
	}
	return w
}

func fromWire(w *wireAnswer) *Answer {
	if w == nil {
		return nil
	}
	a := &Answer{Status: w.Status, Body: w.Body}
	for _, f := range w.Header {
		a.Header = append(a.Header, HeaderField{Name: f.Name, Value: f.Value})
	}
	return a
}

func marshal(v any) []byte {
	b, err := encoder.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("agatestate: encode %T: %v", v, err))
	}
	return append([]byte{codecVersion}, b...)
}

func unmarshal(b []byte, v any) error {
	if len(b) == 0 || b[0] != codecVersion {
		return fmt.Errorf("%w: empty or of an unknown version", ErrMalformed)
	}
	if err := decoder.Unmarshal(b[1:], v); err != nil {
		return fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return nil
}

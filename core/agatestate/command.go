package agatestate

import "time"

// Limits on the fields of a command. A command beyond one of them gets the
// verdict Invalid.
const (
	// MaxName bounds names of services, hosts, upstreams and operators, and
	// change ids, in bytes.
	MaxName = 255
	// MaxKey bounds idempotency keys, in bytes.
	MaxKey = 512
	// MaxPrints bounds the fingerprints of one Death.
	MaxPrints = 4096
	// MaxDeadline bounds the deadline of a claim and the timeout of a probe.
	MaxDeadline = time.Hour
)

// Token identifies one claim or one probe. It is random and never reused.
type Token [16]byte

// Payload is the hash of the caller's whole request.
type Payload [32]byte

// Fingerprint identifies a request that may crash upstreams.
type Fingerprint [32]byte

// Command is one entry of the replicated log. Exactly one of the pointers
// is set.
type Command struct {
	// Now is the proposer's clock in Unix milliseconds. See Stamp.
	Now       int64
	Configure *Configure
	Claim     *Claim
	Finish    *Finish
	Release   *Release
	Refuse    *Refuse
	Expire    *Expire
	Death     *Death
	Probe     *Probe
	Settle    *Settle
	Limits    *Limits
	Announce  *Announce
	Evacuate  *Evacuate
	Absolve   *Absolve
}

// Configure replaces the configuration document if Base is the revision in
// force. Verdicts: Accepted, Conflict, Reused, Invalid.
type Configure struct {
	Change   string
	Base     uint64
	Document []byte
	Operator string
}

// Claim asks for the right to run an action. Verdicts: Granted, InProgress,
// Done, Unknown, Mismatch, Held, Full.
type Claim struct {
	Service string
	Key     string
	Payload Payload
	// Holder is the entry host that asks, Epoch its start.
	Holder string
	Epoch  uint64
	Token  Token
	// Deadline is the caller's time left.
	Deadline time.Duration
	// Seen is the highest applied log index that the entry host knew when
	// the caller's request arrived. A claim is refused if it is below the
	// index of the key's last refusal. See agateaction.Seen.
	Seen uint64
}

// Finish stores the upstream's answer. It is accepted from the claim's
// token only, also after the record became unknown. Verdicts: Recorded,
// Done (an answer is stored already), Missing.
type Finish struct {
	Service string
	Key     string
	Token   Token
	Answer  Answer
}

// Answer is the upstream's whole answer to an action.
type Answer struct {
	Status int
	Header []Field
	Body   []byte
}

// Field is one header line of an Answer.
type Field struct {
	Name, Value string
}

// Release states that the holder of the token never started the action and
// never will. Verdicts: Refused, or those of a live record of another token
// (InProgress, Done, Unknown, Mismatch).
type Release struct {
	Service string
	Key     string
	Payload Payload
	Token   Token
}

// Refuse commits that a request is not run, without a claim. Verdicts:
// Refused, or those of a live record (InProgress, Done, Unknown, Mismatch).
type Refuse struct {
	Service string
	Key     string
	Payload Payload
}

// Expire moves state time on and handles due records. Verdict: Expired,
// with Count set to the number of records handled.
type Expire struct {
	// Limit bounds the records handled. The default is 1024.
	Limit int
}

// Death reports the requests that were in flight when an upstream died.
// Verdict: Counted, with Count set to the fingerprints that changed; or
// Full, when some fingerprint found no room.
type Death struct {
	Host        string
	Upstream    string
	Incarnation uint64
	Prints      []Fingerprint
}

// Probe asks for the right to run a suspect alone. Verdicts: Granted, Clear
// (not a suspect), InProgress (another probe), Final (refused for good).
type Probe struct {
	Print       Fingerprint
	Upstream    string
	Incarnation uint64
	Holder      string
	Token       Token
	Timeout     time.Duration
}

// Outcome is what became of a probe.
type Outcome uint8

// The outcomes of a probe.
const (
	Survived Outcome = iota + 1
	Died
	NotStarted
)

// Settle ends a probe. Verdicts: Settled, Missing.
type Settle struct {
	Print   Fingerprint
	Token   Token
	Outcome Outcome
}

// Absolve clears fingerprints that an upstream has answered, whatever their
// deaths: a request that crashes upstreams is never answered. Verdict:
// Counted, with Count set to the fingerprints that changed.
type Absolve struct {
	Prints []Fingerprint
}

// fieldOverhead is the size counted for a header line besides its text.
const fieldOverhead = 32

// size is the number of bytes of the answer that count towards the bounds.
func (a *Answer) size() int {
	n := len(a.Body)
	for _, f := range a.Header {
		n += len(f.Name) + len(f.Value) + fieldOverhead
	}
	return n
}

func (c *Configure) valid() bool {
	return name(c.Change) && len(c.Operator) <= MaxName
}

func (c *Claim) valid() bool {
	return name(c.Service) && key(c.Key) && name(c.Holder) &&
		c.Token != (Token{}) && c.Deadline > 0 && c.Deadline <= MaxDeadline
}

func (c *Finish) valid() bool {
	return name(c.Service) && key(c.Key) && c.Token != (Token{})
}

func (c *Release) valid() bool {
	return name(c.Service) && key(c.Key) && c.Token != (Token{})
}

func (c *Refuse) valid() bool {
	return name(c.Service) && key(c.Key)
}

func (c *Expire) valid() bool { return c.Limit >= 0 }

func (c *Death) valid() bool {
	return name(c.Upstream) && len(c.Host) <= MaxName && len(c.Prints) <= MaxPrints
}

func (c *Absolve) valid() bool { return len(c.Prints) > 0 && len(c.Prints) <= MaxPrints }

func (c *Probe) valid() bool {
	return name(c.Upstream) && name(c.Holder) && c.Token != (Token{}) &&
		c.Timeout > 0 && c.Timeout <= MaxDeadline
}

func (c *Settle) valid() bool {
	return c.Token != (Token{}) && c.Outcome >= Survived && c.Outcome <= NotStarted
}

func name(s string) bool { return s != "" && len(s) <= MaxName }

func key(s string) bool { return s != "" && len(s) <= MaxKey }

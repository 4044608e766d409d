package agatestate

import "time"

// Limits on the fields of a command. A command that exceeds one of them gets
// the verdict Invalid.
const (
	// MaxNameLen bounds the names of services, hosts, upstreams and operators,
	// and change ids, in bytes.
	MaxNameLen = 255
	// MaxKeyLen bounds idempotency keys, in bytes.
	MaxKeyLen = 512
	// MaxFingerprints bounds the fingerprints of one Death or ClearSuspects.
	MaxFingerprints = 4096
	// MaxTimeout bounds the timeouts of a claim and of a probe.
	MaxTimeout = time.Hour
)

// Token identifies one claim or one probe. It is random and never reused.
type Token [16]byte

// PayloadHash is the SHA-256 of the whole request of the caller.
type PayloadHash [32]byte

// Fingerprint identifies a request that may crash upstreams: the 16 bytes of an
// agatesuspect.Fingerprint, padded with zeros.
type Fingerprint [32]byte

// Command is one entry of the replicated log. Exactly one of the pointers is
// set.
type Command struct {
	// Now is the state time by the clock of the proposing replica, in Unix
	// milliseconds.
	Now           int64
	Configure     *Configure
	Claim         *Claim
	Finish        *Finish
	Release       *Release
	Refuse        *Refuse
	Expire        *Expire
	Death         *Death
	Probe         *Probe
	EndProbe      *EndProbe
	Limits        *Limits
	Announce      *Announce
	Evacuate      *Evacuate
	ClearSuspects *ClearSuspects
}

// Configure replaces the configuration document if Base is the current
// revision. Verdicts: Accepted, Conflict, Reused, Invalid.
type Configure struct {
	// ChangeID identifies the change. A repeated id gets the result of its
	// first use.
	ChangeID string
	Base     uint64
	Document []byte
	Operator string
}

// Claim requests the exclusive right to run an action. Verdicts: Granted,
// InProgress, Done, Unknown, Mismatch, Held, Full.
type Claim struct {
	Service     string
	Key         string
	PayloadHash PayloadHash
	// Holder is the name of the entry host that sends the claim. Epoch
	// identifies the process of that host; later processes have higher epochs.
	Holder string
	Epoch  uint64
	Token  Token
	// Timeout is how long the caller still waits.
	Timeout time.Duration
	// SeenIndex is the log index that agateaction.IndexTracker.At returned when
	// the request arrived: the highest index that the entry host had learned at
	// least agateaction.SeenLag earlier. A claim that would create a record or
	// replace a tombstone is refused if SeenIndex is below the index of the
	// last refusal of the key, or below the index of a deleted record.
	SeenIndex uint64
}

// Finish stores the answer of the upstream. It is accepted only with the token
// of the claim, also after the record became unknown. Verdicts: Recorded, Done
// (an answer is already stored), Missing.
type Finish struct {
	Service string
	Key     string
	Token   Token
	Answer  Answer
}

// Answer is the complete response of the upstream to an action.
type Answer struct {
	Status int
	Header []HeaderField
	Body   []byte
}

// HeaderField is one header line of an Answer.
type HeaderField struct {
	Name, Value string
}

// Release declares that the holder of the token has not started the action and
// never will. Verdicts: Refused, or those of a live record that cannot be released
// (InProgress, Done, Unknown, Mismatch): one with another token or payload, or
// whose action has run.
type Release struct {
	Service     string
	Key         string
	PayloadHash PayloadHash
	Token       Token
}

// Refuse commits that a request is not run, without a claim. Verdicts: Refused,
// or those of a live record (InProgress, Done, Unknown, Mismatch).
type Refuse struct {
	Service     string
	Key         string
	PayloadHash PayloadHash
}

// Expire advances the state time and expires the records that are due. Verdict:
// Expired, with Count set to the number of records that were due.
type Expire struct {
	// Limit bounds the records that are expired. The default is 1024.
	Limit int
}

// Death reports the requests that were in flight when an upstream died.
// Verdict: Counted, with Count set to the number of fingerprints that changed;
// or Full if there was no room for some fingerprint.
type Death struct {
	Host     string
	Upstream string
	// Incarnation identifies the process of the upstream, or is 0 if the host
	// does not know it. Reports with the same Upstream and Incarnation count as
	// one death of a fingerprint.
	Incarnation  uint64
	Fingerprints []Fingerprint
}

// Probe requests the exclusive right to run a suspect request, on an upstream
// that runs no other suspect meanwhile. Verdicts: Granted, Clear (not a suspect),
// InProgress (another probe of the request or on the upstream is running), Final
// (refused).
type Probe struct {
	Fingerprint Fingerprint
	Upstream    string
	Incarnation uint64 // identifies the process of the upstream
	Holder      string
	Token       Token
	Timeout     time.Duration
}

// ProbeOutcome is the outcome of a probe.
type ProbeOutcome uint8

// The outcomes of a probe. Inconclusive means that the upstream neither answered
// nor died; the request may have run.
const (
	Survived ProbeOutcome = iota + 1
	Died
	Inconclusive
)

// EndProbe ends a probe with its outcome. Verdicts: ProbeEnded, Missing.
type EndProbe struct {
	Fingerprint Fingerprint
	Token       Token
	Outcome     ProbeOutcome
}

// ClearSuspects clears fingerprints that an upstream has answered, regardless
// of their deaths: a request that crashes upstreams is never answered. Verdict:
// Counted, with Count set to the number of fingerprints that changed.
type ClearSuspects struct {
	Fingerprints []Fingerprint
}

// headerOverheadBytes is added to the size of the text of each header line.
const headerOverheadBytes = 32

// size returns the bytes of the answer that count towards the limits.
func (a *Answer) size() int {
	n := len(a.Body)
	for _, f := range a.Header {
		n += len(f.Name) + len(f.Value) + headerOverheadBytes
	}
	return n
}

func (c *Configure) valid() bool {
	return validName(c.ChangeID) && len(c.Operator) <= MaxNameLen
}

func (c *Claim) valid() bool {
	return validName(c.Service) && validKey(c.Key) && validName(c.Holder) &&
		c.Token != (Token{}) && c.Timeout > 0 && c.Timeout <= MaxTimeout
}

func (c *Finish) valid() bool {
	return validName(c.Service) && validKey(c.Key) && c.Token != (Token{})
}

func (c *Release) valid() bool {
	return validName(c.Service) && validKey(c.Key) && c.Token != (Token{})
}

func (c *Refuse) valid() bool {
	return validName(c.Service) && validKey(c.Key)
}

func (c *Expire) valid() bool { return c.Limit >= 0 }

func (c *Death) valid() bool {
	return validName(c.Upstream) && len(c.Host) <= MaxNameLen && len(c.Fingerprints) <= MaxFingerprints
}

func (c *ClearSuspects) valid() bool {
	return len(c.Fingerprints) > 0 && len(c.Fingerprints) <= MaxFingerprints
}

func (c *Probe) valid() bool {
	return validName(c.Upstream) && validName(c.Holder) && c.Token != (Token{}) &&
		c.Timeout > 0 && c.Timeout <= MaxTimeout
}

func (c *EndProbe) valid() bool {
	return c.Token != (Token{}) && c.Outcome >= Survived && c.Outcome <= Inconclusive
}

func validName(s string) bool { return s != "" && len(s) <= MaxNameLen }

func validKey(s string) bool { return s != "" && len(s) <= MaxKeyLen }

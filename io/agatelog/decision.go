// Package agatelog records routing and admission decisions. Each decision
// becomes a log line with stable field names, and an entry in one of two bounded
// ring buffers (routine and other decisions) from which "agategate explain"
// reads.
//
// The fields of a line are req, service, kind, choice, reason, considered,
// outcome and took. Lines of routine decisions may be sampled. Refusals,
// actions (requests that must not be executed twice) and overflow to another
// region are always written.
//
// # Usage
//
//	log := agatelog.New(agatelog.Config{Name: "entry-1", Level: "info", SkipRatio: 0.9})
//	log.Record(&agatelog.Decision{
//		Request: id, Service: "quotes", Kind: agatelog.Route,
//		Choice: "quotes-4", Reason: "shortest", Outcome: agatelog.Sent,
//	})
//	decisions := log.Explain(id)
package agatelog

import (
	"strings"
	"time"
)

// Kind is the subject of a decision.
type Kind string

// The kinds of decisions.
const (
	Route        Kind = "route"     // the choice of an upstream for a request
	Admit        Kind = "admit"     // the final answer to a call
	Retry        Kind = "retry"     // a retry after a failed attempt
	Hedge        Kind = "hedge"     // a second attempt in parallel with a slow one
	Forward      Kind = "forward"   // the choice of another entry host that carries a request
	Claim        Kind = "claim"     // a command on an action to the control group, such as a claim
	Overflow     Kind = "shift"     // overflow to another region
	Lookup       Kind = "lookup"    // the order of entry hosts in a lookup response
	Drain        Kind = "drain"     // the start or end of a drain
	StateChange  Kind = "placement" // a change of the state or the traffic share of an upstream or host
	Suspect      Kind = "suspect"   // the isolation or refusal of a request during which upstreams crashed
	ConfigChange Kind = "change"    // a change of the configuration
)

// Outcome is the result of a decision.
type Outcome string

// The outcomes of decisions. The outcomes of responses to callers have the
// values of the Agate-Outcome header.
const (
	Sent           Outcome = "sent"    // a request was sent to the choice
	Queued         Outcome = "wait"    // a request waits in the queue
	LookupAnswered Outcome = "named"   // a lookup was answered
	Responded      Outcome = "run"     // the request was run and the response sent to the caller
	Refused        Outcome = "refused" // the request was refused
	NotRun         Outcome = "not-run" // the caller was told that the request was not run
	Unknown        Outcome = "unknown" // the caller was told that the request may have run
	// Committed and Unconfirmed are the outcomes of commands to the control
	// group.
	Committed   Outcome = "committed"
	Unconfirmed Outcome = "unconfirmed"
)

// Candidate is one of the alternatives of a decision.
type Candidate struct {
	Name string `json:"name"`
	// ExpectedLatency is 0 if it was not estimated.
	ExpectedLatency time.Duration `json:"cost"`
	// Note is the reason why the candidate was not eligible. It is empty if the
	// candidate was eligible.
	Note string `json:"note,omitempty"`
}

// Decision is one decision with its inputs. Durations in JSON are in
// nanoseconds.
type Decision struct {
	Time    time.Time `json:"time"`
	Request string    `json:"req"`
	Service string    `json:"service"`
	Kind    Kind      `json:"kind"`
	// Action is set for a request that must not be executed twice.
	Action     bool        `json:"action"`
	Choice     string      `json:"choice"`
	Reason     string      `json:"reason"`
	Candidates []Candidate `json:"considered"`
	// CandidateCount is the number of candidates, including those that are not
	// listed in Candidates. It is 0 if they were not counted.
	CandidateCount int           `json:"compared"`
	Outcome        Outcome       `json:"outcome"`
	Duration       time.Duration `json:"took"`
}

// isRoutine reports whether the line of a decision may be skipped. It lists the
// routine kinds and outcomes explicitly, so that new ones are always written
// by default.
func (d *Decision) isRoutine() bool {
	if d.Action {
		return false
	}
	switch d.Kind {
	case Route, Admit, Lookup:
	default:
		return false
	}
	switch d.Outcome {
	case Sent, Queued, LookupAnswered, Responded:
		return true
	}
	return false
}

func (d *Decision) candidateList() string {
	var b strings.Builder
	for i, c := range d.Candidates {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(c.Name)
		switch {
		case c.Note != "":
			b.WriteByte(':')
			b.WriteString(c.Note)
		case c.ExpectedLatency != 0:
			b.WriteByte(':')
			b.WriteString(c.ExpectedLatency.String())
		}
	}
	return b.String()
}

// Package agatelog records decisions: each becomes one log line with stable
// field names and one slot of a bounded ring that "agategate explain" reads.
//
// The fields of a line are req, service, kind, choice, reason, considered,
// outcome and took. Routine decisions may be sampled; refusals, actions and
// shifts are always written.
//
// # Usage
//
//	log := agatelog.New(agatelog.Config{Name: "entry-1", Level: "info", Skip: 0.9})
//	log.Record(&agatelog.Decision{
//		Request: id, Service: "labels", Kind: agatelog.Route,
//		Choice: "labels-4", Reason: "shortest", Outcome: agatelog.Sent,
//	})
//	decisions := log.Explain(id)
package agatelog

import (
	"strings"
	"time"
)

// Kind says what was decided.
type Kind string

// The kinds of decisions.
const (
	Route     Kind = "route"     // an upstream for a request
	Admit     Kind = "admit"     // whether a request is accepted
	Retry     Kind = "retry"     // a second attempt
	Hedge     Kind = "hedge"     // a second attempt in parallel
	Claim     Kind = "claim"     // the right to run an action
	Shift     Kind = "shift"     // overflow to another region
	Lookup    Kind = "lookup"    // the order of entry hosts
	Drain     Kind = "drain"     // the start or end of a drain
	Placement Kind = "placement" // the state or share of an upstream or host
	Suspect   Kind = "suspect"   // a request that upstreams died of
	Change    Kind = "change"    // a configuration
)

// Outcome says what came of a decision.
type Outcome string

// The outcomes of decisions. Those of an answer to a caller have the values
// of the header Agate-Outcome.
const (
	Sent    Outcome = "sent"    // a request went to the choice
	Wait    Outcome = "wait"    // a request waits in the queue
	Named   Outcome = "named"   // a look-up was answered
	Run     Outcome = "run"     // the answer reached the caller
	Refused Outcome = "refused" // the request was refused
	NotRun  Outcome = "not-run" // the caller was told that nothing ran
	Unknown Outcome = "unknown" // the caller was told that it may have run
	// Committed and Unconfirmed are the outcomes of commands to the control
	// group.
	Committed   Outcome = "committed"
	Unconfirmed Outcome = "unconfirmed"
)

// Candidate is something that could have been chosen.
type Candidate struct {
	Name string `json:"name"`
	// Cost is the expected time to answer. It is 0 if it was not estimated.
	Cost time.Duration `json:"cost"`
	// Note says why the candidate was not eligible. It is empty for one that
	// was.
	Note string `json:"note,omitempty"`
}

// Decision is one decision with its inputs. Durations in JSON are in
// nanoseconds.
type Decision struct {
	Time    time.Time `json:"time"`
	Request string    `json:"req"`
	Service string    `json:"service"`
	Kind    Kind      `json:"kind"`
	// Action is set for a request that must not repeat.
	Action     bool        `json:"action"`
	Choice     string      `json:"choice"`
	Reason     string      `json:"reason"`
	Considered []Candidate `json:"considered"`
	// Compared is the number of candidates, those without a name in Considered
	// included. It is 0 if it was not counted.
	Compared int           `json:"compared"`
	Outcome  Outcome       `json:"outcome"`
	Took     time.Duration `json:"took"`
}

// routine reports whether the line of a decision may be skipped. Only kinds
// and outcomes that are known to be routine are: an outcome that is added
// later is always written.
func (d *Decision) routine() bool {
	if d.Action {
		return false
	}
	switch d.Kind {
	case Route, Admit, Lookup:
	default:
		return false
	}
	switch d.Outcome {
	case Sent, Wait, Named, Run:
		return true
	}
	return false
}

func (d *Decision) considered() string {
	var b strings.Builder
	for i, c := range d.Considered {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(c.Name)
		switch {
		case c.Note != "":
			b.WriteByte(':')
			b.WriteString(c.Note)
		case c.Cost != 0:
			b.WriteByte(':')
			b.WriteString(c.Cost.String())
		}
	}
	return b.String()
}

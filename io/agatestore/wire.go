package agatestore

import (
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"agategate/core/agatequorum"
)

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{
		MaxArrayElements:  1 << 30,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(fmt.Sprintf("agatestore: cbor options: %v", err))
	}
	return v
}

// formatVersion is the version of the files.
const formatVersion = 1

// The bodies of frames.
type (
	wireStart struct {
		Version  int      `cbor:"1,keyasint"`
		Identity uint64   `cbor:"2,keyasint"`
		Hard     wireHard `cbor:"3,keyasint"`
		// Index and Term are those of the snapshot with the segment's number.
		Index uint64 `cbor:"4,keyasint"`
		Term  uint64 `cbor:"5,keyasint"`
		// Last is the last index of the log when the segment was started.
		Last uint64 `cbor:"6,keyasint"`
	}
	wireHard struct {
		_      struct{} `cbor:",toarray"`
		Term   uint64
		Vote   uint64
		Commit uint64
	}
	wireBatch struct {
		_       struct{} `cbor:",toarray"`
		Hard    wireHard
		Entries []wireEntry
	}
	wireEntry struct {
		_     struct{} `cbor:",toarray"`
		Term  uint64
		Index uint64
		Kind  agatequorum.Kind
		Data  []byte
	}
	wireSnapshot struct {
		Version  int          `cbor:"1,keyasint"`
		Identity uint64       `cbor:"2,keyasint"`
		Index    uint64       `cbor:"3,keyasint"`
		Term     uint64       `cbor:"4,keyasint"`
		Members  []wireMember `cbor:"5,keyasint"`
		Data     []byte       `cbor:"6,keyasint"`
	}
	wireMember struct {
		_       struct{} `cbor:",toarray"`
		ID      uint64
		Address string
		Learner bool
	}
)

func toWireHard(h agatequorum.HardState) wireHard {
	return wireHard{Term: h.Term, Vote: h.Vote, Commit: h.Commit}
}

func (w wireHard) hard() agatequorum.HardState {
	return agatequorum.HardState{Term: w.Term, Vote: w.Vote, Commit: w.Commit}
}

func toWireBatch(h agatequorum.HardState, es []agatequorum.Entry) wireBatch {
	w := wireBatch{Hard: toWireHard(h)}
	for _, e := range es {
		w.Entries = append(w.Entries, wireEntry{Term: e.Term, Index: e.Index, Kind: e.Kind, Data: e.Data})
	}
	return w
}

func (w wireEntry) entry() agatequorum.Entry {
	return agatequorum.Entry{Term: w.Term, Index: w.Index, Kind: w.Kind, Data: w.Data}
}

func toWireSnapshot(identity uint64, sn agatequorum.Snapshot) wireSnapshot {
	w := wireSnapshot{Version: formatVersion, Identity: identity, Index: sn.Index, Term: sn.Term, Data: sn.Data}
	for _, m := range sn.Members {
		wm := wireMember{ID: m.ID, Learner: m.Learner}
		if m.Address.IsValid() {
			wm.Address = m.Address.String()
		}
		w.Members = append(w.Members, wm)
	}
	return w
}

func (w wireSnapshot) snapshot() (agatequorum.Snapshot, error) {
	sn := agatequorum.Snapshot{Index: w.Index, Term: w.Term, Data: w.Data}
	for _, wm := range w.Members {
		m := agatequorum.Member{ID: wm.ID, Learner: wm.Learner}
		if wm.Address != "" {
			a, err := netip.ParseAddrPort(wm.Address)
			if err != nil {
				return sn, err
			}
			m.Address = a
		}
		sn.Members = append(sn.Members, m)
	}
	return sn, nil
}

// encodeFrame returns the frame of v at an offset of a file.
func encodeFrame(k kind, v any, number uint64, off int64) ([]byte, error) {
	body, err := encoder.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("agatestore: encode %T: %w", v, err)
	}
	if len(body) > maxBody {
		return nil, fmt.Errorf("agatestore: %d bytes are too many for one write, the bound is %d", len(body), maxBody)
	}
	buf := make([]byte, frameHeader, frameSize(len(body)))
	return seal(append(buf, body...), k, number, off), nil
}

package agatequorum

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Find returns the member with the given ID.
func (ms Members) Find(id uint64) (Member, bool) {
	for _, m := range ms {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether the replica with the given ID is a voter.
func (ms Members) IsVoter(id uint64) bool {
	m, ok := ms.Find(id)
	return ok && !m.Learner
}

// VoterCount returns the number of voters.
func (ms Members) VoterCount() int {
	n := 0
	for _, m := range ms {
		if m.Learner {
			continue
		}
		n++
	}
	return n
}

// majorityValue returns the highest value that a majority of the voters has
// reached. Learners do not count. It returns zero if there are no voters.
func majorityValue[T ~int64 | ~uint64](ms Members, value func(id uint64) T) T {
	values := make([]T, 0, len(ms))
	for _, m := range ms {
		if m.Learner {
			continue
		}
		values = append(values, value(m.ID))
	}
	if len(values) == 0 {
		var none T
		return none
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// wireMember is the encoded form of a Member.
type wireMember struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Address string
	Learner bool
}

// Encode returns the CBOR encoding of the membership, as stored in log entries.
func (ms Members) Encode() []byte {
	wire := make([]wireMember, 0, len(ms))
	for _, m := range ms {
		w := wireMember{ID: m.ID, Learner: m.Learner}
		if m.Address.IsValid() {
			w.Address = m.Address.String()
		}
		wire = append(wire, w)
	}
	data, err := cbor.Marshal(wire)
	if err != nil {
		// All values of the type can be encoded.
		panic(fmt.Sprintf("agatequorum: encode members: %v", err))
	}
	return data
}

// DecodeMembers is the inverse of Members.Encode.
func DecodeMembers(data []byte) (Members, error) {
	var wire []wireMember
	if err := cbor.Unmarshal(data, &wire); err != nil {
		return nil, fmt.Errorf("agatequorum: decode members: %w", err)
	}
	ms := make(Members, 0, len(wire))
	for _, w := range wire {
		m := Member{ID: w.ID, Learner: w.Learner}
		if w.Address != "" {
			address, err := netip.ParseAddrPort(w.Address)
			if err != nil {
				return nil, fmt.Errorf("agatequorum: decode members: %w", err)
			}
			m.Address = address
		}
		ms = append(ms, m)
	}
	return ms, nil
}

// indexedMembers is a membership with the index of its log entry.
type indexedMembers struct {
	index   uint64
	members Members
}

// membershipHistory holds the memberships in the log, the oldest first. The
// newest one is in effect, whether or not its entry is committed.
type membershipHistory struct {
	history []indexedMembers
}

func (h *membershipHistory) latest() indexedMembers {
	if len(h.history) == 0 {
		return indexedMembers{}
	}
	return h.history[len(h.history)-1]
}

// at returns the membership in effect at index.
func (h *membershipHistory) at(index uint64) indexedMembers {
	for i := len(h.history) - 1; i >= 0; i-- {
		if h.history[i].index <= index {
			return h.history[i]
		}
	}
	return indexedMembers{}
}

func (h *membershipHistory) add(index uint64, ms Members) {
	h.history = append(h.history, indexedMembers{index: index, members: ms})
}

// truncate removes the memberships of entries from index on.
func (h *membershipHistory) truncate(index uint64) {
	for len(h.history) > 0 && h.latest().index >= index {
		h.history = h.history[:len(h.history)-1]
	}
}

// compact removes the memberships that were replaced at or before index.
func (h *membershipHistory) compact(index uint64) {
	for len(h.history) > 1 && h.history[1].index <= index {
		h.history = h.history[1:]
	}
}

// reset replaces the history by the membership of a snapshot.
func (h *membershipHistory) reset(index uint64, ms Members) {
	h.history = []indexedMembers{{index: index, members: ms}}
}

package agateclient

import (
	"agategate/core/agatestate"
	"agategate/core/agatesuspect"
	"agategate/io/agatewire"
)

// FromWireSuspects decodes the control group's records of suspects. It skips records
// whose fingerprint is too short.
func FromWireSuspects(list []*agatewire.Suspect) []agatesuspect.Record {
	out := make([]agatesuspect.Record, 0, len(list))
	for _, s := range list {
		if len(s.Print) < agatesuspect.FingerprintSize {
			continue
		}
		r := agatesuspect.Record{Deaths: int(s.Deaths), Index: s.Index, ClearedIndex: s.Cleared}
		copy(r.Fingerprint[:], s.Print)
		// A record without deaths states that the fingerprint was cleared at Index.
		if s.Deaths == 0 {
			r.ClearedIndex = s.Index
		}
		out = append(out, r)
	}
	return out
}

// ToWireSuspects encodes the control group's records of suspects.
func ToWireSuspects(list []agatestate.Suspect) []*agatewire.Suspect {
	out := make([]*agatewire.Suspect, 0, len(list))
	for _, s := range list {
		out = append(out, &agatewire.Suspect{
			Print:   s.Fingerprint[:],
			Deaths:  uint32(s.Deaths), // 2 at most
			Index:   s.Index,
			Cleared: s.ClearedIndex,
		})
	}
	return out
}

// ToStateFingerprint converts a fingerprint to the type of the replicated state,
// which is longer and padded with zeros.
func ToStateFingerprint(f agatesuspect.Fingerprint) agatestate.Fingerprint {
	var out agatestate.Fingerprint
	copy(out[:], f[:])
	return out
}

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
		panic(fmt.Sprintf("agatestore: invalid CBOR options: %v", err))
	}
	return v
}

// formatVersion is the version of the file format.
const formatVersion = 1

// The records in the bodies of frames.
type (
	segmentHeader struct {
		Version   int             `cbor:"1,keyasint"`
		Identity  uint64          `cbor:"2,keyasint"`
		HardState hardStateRecord `cbor:"3,keyasint"`
		// SnapshotIndex and SnapshotTerm belong to the snapshot that has the
		// same file number as the segment.
		SnapshotIndex uint64 `cbor:"4,keyasint"`
		SnapshotTerm  uint64 `cbor:"5,keyasint"`
		// LastIndex is the last index of the log when the segment was created.
		LastIndex uint64 `cbor:"6,keyasint"`
	}
	hardStateRecord struct {
		_      struct{} `cbor:",toarray"`
		Term   uint64
		Vote   uint64
		Commit uint64
	}
	batchRecord struct {
		_         struct{} `cbor:",toarray"`
		HardState hardStateRecord
		Entries   []entryRecord
	}
	entryRecord struct {
		_     struct{} `cbor:",toarray"`
		Term  uint64
		Index uint64
		Kind  agatequorum.Kind
		Data  []byte
	}
	snapshotRecord struct {
		Version  int            `cbor:"1,keyasint"`
		Identity uint64         `cbor:"2,keyasint"`
		Index    uint64         `cbor:"3,keyasint"`
		Term     uint64         `cbor:"4,keyasint"`
		Members  []memberRecord `cbor:"5,keyasint"`
		Data     []byte         `cbor:"6,keyasint"`
	}
	memberRecord struct {
		_       struct{} `cbor:",toarray"`
		ID      uint64
		Address string
		Learner bool
	}
)

func newHardStateRecord(h agatequorum.HardState) hardStateRecord {
	return hardStateRecord{Term: h.Term, Vote: h.Vote, Commit: h.Commit}
}

func (r hardStateRecord) hardState() agatequorum.HardState {
	return agatequorum.HardState{Term: r.Term, Vote: r.Vote, Commit: r.Commit}
}

func newBatchRecord(h agatequorum.HardState, entries []agatequorum.Entry) batchRecord {
	r := batchRecord{HardState: newHardStateRecord(h)}
	for _, e := range entries {
		r.Entries = append(r.Entries, entryRecord{Term: e.Term, Index: e.Index, Kind: e.Kind, Data: e.Data})
	}
	return r
}

func (r entryRecord) entry() agatequorum.Entry {
	return agatequorum.Entry{Term: r.Term, Index: r.Index, Kind: r.Kind, Data: r.Data}
}

func newSnapshotRecord(identity uint64, sn agatequorum.Snapshot) snapshotRecord {
	r := snapshotRecord{Version: formatVersion, Identity: identity, Index: sn.Index, Term: sn.Term, Data: sn.Data}
	for _, m := range sn.Members {
		mr := memberRecord{ID: m.ID, Learner: m.Learner}
		if m.Address.IsValid() {
			mr.Address = m.Address.String()
		}
		r.Members = append(r.Members, mr)
	}
	return r
}

func (r snapshotRecord) snapshot() (agatequorum.Snapshot, error) {
	sn := agatequorum.Snapshot{Index: r.Index, Term: r.Term, Data: r.Data}
	for _, mr := range r.Members {
		m := agatequorum.Member{ID: mr.ID, Learner: mr.Learner}
		if mr.Address != "" {
			a, err := netip.ParseAddrPort(mr.Address)
			if err != nil {
				return sn, err
			}
			m.Address = a
		}
		sn.Members = append(sn.Members, m)
	}
	return sn, nil
}

// encodeFrame encodes v as the frame at an offset of a file.
func encodeFrame(k frameKind, v any, number uint64, off int64) ([]byte, error) {
	body, err := encoder.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("agatestore: encode %T: %w", v, err)
	}
	if len(body) > maxBodySize {
		return nil, fmt.Errorf("agatestore: record of %d bytes exceeds the limit of %d", len(body), maxBodySize)
	}
	buf := make([]byte, frameHeaderSize, frameSize(len(body)))
	return finishFrame(append(buf, body...), k, number, off), nil
}

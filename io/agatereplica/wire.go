package agatereplica

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"agategate/core/agatequorum"
)

// Wire encoding of a message. A key must never be reused with another meaning.
type wireMessage struct {
	Kind         uint8         `cbor:"1,keyasint"`
	From         uint64        `cbor:"2,keyasint"`
	To           uint64        `cbor:"3,keyasint"`
	Term         uint64        `cbor:"4,keyasint"`
	Address      string        `cbor:"5,keyasint,omitempty"`
	Index        uint64        `cbor:"6,keyasint,omitempty"`
	LogTerm      uint64        `cbor:"7,keyasint,omitempty"`
	Entries      []wireEntry   `cbor:"8,keyasint,omitempty"`
	Commit       uint64        `cbor:"9,keyasint,omitempty"`
	Reject       bool          `cbor:"10,keyasint,omitempty"`
	Hint         uint64        `cbor:"11,keyasint,omitempty"`
	HintTerm     uint64        `cbor:"12,keyasint,omitempty"`
	SentAt       int64         `cbor:"13,keyasint,omitempty"`
	ReadRound    uint64        `cbor:"14,keyasint,omitempty"`
	Transfer     bool          `cbor:"15,keyasint,omitempty"`
	WriteFailed  bool          `cbor:"16,keyasint,omitempty"`
	MembersIndex uint64        `cbor:"17,keyasint,omitempty"`
	Snapshot     *wireSnapshot `cbor:"18,keyasint,omitempty"`
	Offset       uint64        `cbor:"19,keyasint,omitempty"`
	Total        uint64        `cbor:"20,keyasint,omitempty"`
}

type wireEntry struct {
	_     struct{} `cbor:",toarray"`
	Term  uint64
	Index uint64
	Kind  uint8
	Data  []byte
}

type wireSnapshot struct {
	Index   uint64 `cbor:"1,keyasint"`
	Term    uint64 `cbor:"2,keyasint"`
	Members []byte `cbor:"3,keyasint"`
	Data    []byte `cbor:"4,keyasint,omitempty"`
}

// EncodeMessage returns the CBOR encoding of a message.
func EncodeMessage(m agatequorum.Message) ([]byte, error) {
	w := wireMessage{
		Kind: uint8(m.Kind), From: m.From, To: m.To, Term: m.Term,
		Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit,
		Reject: m.Reject, Hint: m.Hint, HintTerm: m.HintTerm,
		SentAt: int64(m.SentAt), ReadRound: m.ReadRound, Transfer: m.Transfer, WriteFailed: m.WriteFailed,
		MembersIndex: m.MembersIndex, Offset: m.Offset, Total: m.Total,
	}
	if m.Address.IsValid() {
		w.Address = m.Address.String()
	}
	for _, e := range m.Entries {
		w.Entries = append(w.Entries, wireEntry{Term: e.Term, Index: e.Index, Kind: uint8(e.Kind), Data: e.Data})
	}
	if sn := m.Snapshot; sn.Index > 0 {
		w.Snapshot = &wireSnapshot{Index: sn.Index, Term: sn.Term, Members: sn.Members.Encode(), Data: sn.Data}
	}
	data, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("agatereplica: encode message: %w", err)
	}
	return data, nil
}

// DecodeMessage decodes a message encoded by EncodeMessage.
func DecodeMessage(data []byte) (agatequorum.Message, error) {
	var w wireMessage
	if err := cbor.Unmarshal(data, &w); err != nil {
		return agatequorum.Message{}, fmt.Errorf("agatereplica: decode message: %w", err)
	}
	m := agatequorum.Message{
		Kind: agatequorum.MessageKind(w.Kind), From: w.From, To: w.To, Term: w.Term,
		Index: w.Index, LogTerm: w.LogTerm, Commit: w.Commit,
		Reject: w.Reject, Hint: w.Hint, HintTerm: w.HintTerm,
		SentAt: time.Duration(w.SentAt), ReadRound: w.ReadRound, Transfer: w.Transfer, WriteFailed: w.WriteFailed,
		MembersIndex: w.MembersIndex, Offset: w.Offset, Total: w.Total,
	}
	if w.Address != "" {
		address, err := netip.ParseAddrPort(w.Address)
		if err != nil {
			return agatequorum.Message{}, fmt.Errorf("agatereplica: decode message: %w", err)
		}
		m.Address = address
	}
	for _, e := range w.Entries {
		m.Entries = append(m.Entries, agatequorum.Entry{Term: e.Term, Index: e.Index, Kind: agatequorum.Kind(e.Kind), Data: e.Data})
	}
	if w.Snapshot != nil {
		ms, err := agatequorum.DecodeMembers(w.Snapshot.Members)
		if err != nil {
			return agatequorum.Message{}, fmt.Errorf("agatereplica: decode message: %w", err)
		}
		m.Snapshot = agatequorum.Snapshot{Index: w.Snapshot.Index, Term: w.Snapshot.Term, Members: ms, Data: w.Snapshot.Data}
	}
	return m, nil
}

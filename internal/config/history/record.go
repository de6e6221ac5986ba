package history

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// Record is one committed version of the configuration.
type Record struct {
	version  uint64
	hash     [32]byte
	data     []byte
	revision uint64
}

// Version returns the number of the version.
func (r Record) Version() uint64 { return r.version }

// Hash returns the SHA-256 of the encoded configuration.
func (r Record) Hash() [32]byte { return r.hash }

// Data returns the encoded configuration; the slice must not be changed.
func (r Record) Data() []byte { return r.data }

// Revision returns the revision of the head, to be passed to the next Watch.
func (r Record) Revision() uint64 { return r.revision }

// head is the decoded value of config/head.
type head struct {
	version    uint64
	hash       [32]byte
	pieces     []string        // names of the parts that hold the pieces of the encoded configuration, in order
	blockParts []string        // names of the parts with client address blocks
	changes    []appliedChange // the last changes, oldest first
	records    []AuditRecord   // the newest audit records, oldest first, without a gap
	revision   uint64
}

// appliedChange is the id of a patch with the version that it created and the first piece of that version.
type appliedChange struct {
	id      string
	version uint64
	part    string
}

type headWire struct {
	Version uint64       `json:"version"`
	Hash    string       `json:"hash"`
	Parts   []string     `json:"parts"`
	Blocks  []string     `json:"blocks"`
	IDs     []changeWire `json:"ids"`
	Audit   []auditWire  `json:"audit"`
}

type changeWire struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	Part    string `json:"part"`
}

func decodeHead(data []byte, revision uint64) (head, error) {
	var w headWire
	if err := json.Unmarshal(data, &w); err != nil {
		return head{}, fmt.Errorf("history: head: %w", err)
	}
	h := head{version: w.Version, pieces: w.Parts, blockParts: w.Blocks, revision: revision}
	sum, err := hex.DecodeString(w.Hash)
	if err != nil || len(sum) != len(h.hash) {
		return head{}, fmt.Errorf("history: head: hash %q is not a SHA-256", w.Hash)
	}
	copy(h.hash[:], sum)
	for _, c := range w.IDs {
		h.changes = append(h.changes, appliedChange{c.ID, c.Version, c.Part})
	}
	for _, a := range w.Audit {
		h.records = append(h.records, a.auditRecord())
	}
	return h, nil
}

func (h head) encode() ([]byte, error) {
	w := headWire{
		Version: h.version, Hash: hex.EncodeToString(h.hash[:]), Parts: h.pieces, Blocks: h.blockParts,
		IDs: make([]changeWire, 0, len(h.changes)), Audit: make([]auditWire, 0, len(h.records)),
	}
	for _, c := range h.changes {
		w.IDs = append(w.IDs, changeWire{c.id, c.version, c.part})
	}
	for _, a := range h.records {
		w.Audit = append(w.Audit, a.wire())
	}
	data, err := json.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("history: head: %w", err)
	}
	return data, nil
}

// findChange returns the version that the patch created, if the patch is among the last changes.
func (h head) findChange(id string) (uint64, bool) {
	for _, c := range h.changes {
		if c.id == id {
			return c.version, true
		}
	}
	return 0, false
}

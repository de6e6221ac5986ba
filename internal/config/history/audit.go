package history

import (
	"encoding/json"
	"slices"
	"time"
)

// AuditRecord is the record of one applied patch, identified by the version that the patch created.
type AuditRecord struct {
	version   uint64
	id        string
	author    string
	reason    string
	appliedAt time.Time
	change    []byte
}

// Version returns the version that the patch created.
func (a AuditRecord) Version() uint64 { return a.version }

// ID returns the idempotency key of the patch, chosen by its author.
func (a AuditRecord) ID() string { return a.id }

// Author returns the operator who submitted the patch.
func (a AuditRecord) Author() string { return a.author }

// Reason returns the author's reason.
func (a AuditRecord) Reason() string { return a.reason }

// AppliedAt returns when the patch was applied, by the clock of the entry that applied it.
func (a AuditRecord) AppliedAt() time.Time { return a.appliedAt }

// Change returns the RFC 6902 patch, or nothing if the encoded record would have been longer than 8 KB.
func (a AuditRecord) Change() []byte { return slices.Clone(a.change) }

// Refusal is the record of one refused patch.
type Refusal struct {
	id, author, reason string
	base               uint64
	refusedAt          time.Time
}

// ID returns the idempotency key of the patch.
func (r Refusal) ID() string { return r.id }

// Author returns the operator who submitted the patch.
func (r Refusal) Author() string { return r.author }

// Reason returns why the patch was refused.
func (r Refusal) Reason() string { return r.reason }

// Base returns the version on which the patch was based.
func (r Refusal) Base() uint64 { return r.base }

// RefusedAt returns when the patch was refused.
func (r Refusal) RefusedAt() time.Time { return r.refusedAt }

type auditWire struct {
	Version uint64          `json:"version"`
	ID      string          `json:"id"`
	Who     string          `json:"who"`
	Why     string          `json:"why"`
	At      time.Time       `json:"at"`
	Change  json.RawMessage `json:"change,omitempty"`
}

func (w auditWire) auditRecord() AuditRecord {
	return AuditRecord{w.Version, w.ID, w.Who, w.Why, w.At, w.Change}
}

func (a AuditRecord) wire() auditWire {
	return auditWire{a.version, a.id, a.author, a.reason, a.appliedAt, a.change}
}

type refusalWire struct {
	ID     string    `json:"id"`
	Who    string    `json:"who"`
	Reason string    `json:"reason"`
	Base   uint64    `json:"base"`
	At     time.Time `json:"at"`
}

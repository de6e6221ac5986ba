package operator

import (
	"encoding/json"
	"time"

	"tamarackspool/internal/config/history"
)

type patchWire struct {
	Base   uint64          `json:"base"`
	ID     string          `json:"id"`
	Who    string          `json:"who"`
	Why    string          `json:"why"`
	Patch  json.RawMessage `json:"patch"`
	Blocks [][]byte        `json:"blocks,omitempty"`
}

type drainWire struct {
	Base    uint64     `json:"base"`
	ID      string     `json:"id"`
	Who     string     `json:"who"`
	Why     string     `json:"why"`
	Name    string     `json:"name"`
	Targets []string   `json:"targets,omitempty"`
	Zone    string     `json:"zone,omitempty"`
	Region  string     `json:"region,omitempty"`
	Start   *time.Time `json:"start,omitempty"`
	End     *time.Time `json:"end,omitempty"`
}

type outcomeWire struct {
	Outcome string      `json:"outcome"`
	Version uint64      `json:"version,omitempty"`
	Reason  string      `json:"reason,omitempty"`
	Changes []auditWire `json:"changes,omitempty"`
}

type auditWire struct {
	Version uint64          `json:"version"`
	ID      string          `json:"id"`
	Who     string          `json:"who"`
	Why     string          `json:"why"`
	At      time.Time       `json:"at"`
	Patch   json.RawMessage `json:"patch,omitempty"`
}

type refusalWire struct {
	ID     string    `json:"id"`
	Base   uint64    `json:"base"`
	Who    string    `json:"who"`
	Reason string    `json:"reason"`
	At     time.Time `json:"at"`
}

type trailWire struct {
	Audit   []auditWire   `json:"audit"`
	Refused []refusalWire `json:"refused"`
}

type errorWire struct {
	Error string `json:"error"`
}

func wireOutcome(o history.Outcome) outcomeWire {
	return outcomeWire{o.Kind().String(), o.Version(), o.Reason(), wireAudit(o.Changes())}
}

func wireAudit(list []history.AuditRecord) []auditWire {
	out := make([]auditWire, 0, len(list))
	for _, a := range list {
		out = append(out, auditWire{a.Version(), a.ID(), a.Author(), a.Reason(), a.AppliedAt(), a.Change()})
	}
	return out
}

func wireRefusals(list []history.Refusal) []refusalWire {
	out := make([]refusalWire, 0, len(list))
	for _, r := range list {
		out = append(out, refusalWire{r.ID(), r.Base(), r.Author(), r.Reason(), r.RefusedAt()})
	}
	return out
}

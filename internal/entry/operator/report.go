package operator

import (
	"encoding/json"
	"fmt"
	"time"
)

type statusWire struct {
	Entry    string            `json:"entry"`
	Region   string            `json:"region"`
	Zone     string            `json:"zone"`
	At       time.Time         `json:"at"`
	Version  uint64            `json:"version"`
	Floor    uint64            `json:"floor"`
	Isolated bool              `json:"isolated"`
	Store    bool              `json:"store"`
	Roster   float64           `json:"roster"` // seconds
	Age      float64           `json:"age"`    // seconds
	Targets  []targetWire      `json:"targets"`
	Regions  []regionWire      `json:"regions"`
	Links    []linkWire        `json:"links"`
	Drains   []drainStatusWire `json:"drains"`
	Members  []memberWire      `json:"members,omitempty"`
}

type targetWire struct {
	Name    string  `json:"name"`
	Service string  `json:"service"`
	Zone    string  `json:"zone"`
	Region  string  `json:"region"`
	Owner   string  `json:"owner"`
	Owned   bool    `json:"owned"`
	Busy    int     `json:"busy"`
	Limit   int     `json:"limit"`
	Slots   int     `json:"slots"`
	Load    float64 `json:"load"`
	Trust   float64 `json:"trust"`
	Leaving bool    `json:"leaving"`
	Cause   string  `json:"cause,omitempty"`
	Quiet   bool    `json:"quiet"`
}

type regionWire struct {
	Name  string `json:"name"`
	Busy  int    `json:"busy"`
	Limit int    `json:"limit"`
	Free  int    `json:"free"`
}

type linkWire struct {
	From  string `json:"from"`
	To    string `json:"to"`
	Used  int64  `json:"used"`  // bytes/s
	Share int64  `json:"share"` // bytes/s
	Limit int64  `json:"limit"` // bytes/s
}

type drainStatusWire struct {
	Name    string   `json:"name"`
	Targets []string `json:"targets"`
	Busy    int      `json:"busy"`
	Active  bool     `json:"active"`
	Quiet   bool     `json:"quiet"`
	Delayed string   `json:"delayed,omitempty"`
}

type memberWire struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	State       string `json:"state"`
	Incarnation string `json:"incarnation"`
	Version     uint64 `json:"version"`
}

func wireStatus(s Status) statusWire {
	return statusWire{
		Entry: s.Entry, Region: s.Region, Zone: s.Zone, At: s.At, Version: s.Version, Floor: s.Floor,
		Isolated: s.Isolated, Store: s.StoreReachable, Roster: s.VMListAge.Seconds(), Age: s.Uptime.Seconds(),
		Targets: mapSlice(s.Targets, func(t Target) targetWire { return targetWire(t) }),
		Regions: mapSlice(s.Regions, func(r Region) regionWire { return regionWire(r) }),
		Links:   mapSlice(s.Links, func(l Link) linkWire { return linkWire(l) }),
		Drains:  mapSlice(s.Drains, func(d Drain) drainStatusWire { return drainStatusWire(d) }),
		Members: mapSlice(s.Members, func(m Member) memberWire { return memberWire(m) }),
	}
}

func mapSlice[A, B any](list []A, f func(A) B) []B {
	out := make([]B, len(list))
	for i, v := range list {
		out[i] = f(v)
	}
	return out
}

// EncodePart returns the entry's part of the fleet status as JSON, which another entry merges with its own.
func EncodePart(s Status) ([]byte, error) {
	s.Members = nil
	// The merging entry has the targets of each drain from the configuration; a drained region would make every part long.
	s.Drains = mapSlice(s.Drains, func(d Drain) Drain { d.Targets = nil; return d })
	return json.Marshal(wireStatus(s))
}

// decodePart decodes the status part of the named entry.
func decodePart(entry string, data []byte) (statusWire, error) {
	var w statusWire
	if err := json.Unmarshal(data, &w); err != nil {
		return w, fmt.Errorf("operator: malformed answer: %w", err)
	}
	if w.Entry != entry {
		return w, fmt.Errorf("operator: malformed answer: it comes from %q", w.Entry)
	}
	return w, nil
}

package codec

import (
	"encoding/json"
	"time"
)

// documentWire is the JSON form of the whole configuration without its client address blocks.
type documentWire struct {
	Version  uint64        `json:"version"`
	Services []serviceWire `json:"services"`
	Regions  []regionWire  `json:"regions"`
	Zones    []zoneWire    `json:"zones"`
	Targets  []targetWire  `json:"targets"`
	Links    []linkWire    `json:"links"`
	Entries  []entryWire   `json:"entries"`
	Tenants  []tenantWire  `json:"tenants"`
	Drains   []drainWire   `json:"drains"`
	Blocks   []string      `json:"blocks"` // hashes of the parts that hold the client address blocks
}

// sectionsWire defers the elements of each list so that an error can name the element.
type sectionsWire struct {
	Version  uint64            `json:"version"`
	Services []json.RawMessage `json:"services"`
	Regions  []json.RawMessage `json:"regions"`
	Zones    []json.RawMessage `json:"zones"`
	Targets  []json.RawMessage `json:"targets"`
	Links    []json.RawMessage `json:"links"`
	Entries  []json.RawMessage `json:"entries"`
	Tenants  []json.RawMessage `json:"tenants"`
	Drains   []json.RawMessage `json:"drains"`
	Blocks   []json.RawMessage `json:"blocks"`
}

type serviceWire struct {
	Name     string  `json:"name"`
	Once     bool    `json:"once,omitempty"`
	Priority int     `json:"priority"`
	Timeout  string  `json:"timeout"`
	Ceiling  string  `json:"ceiling"`
	Body     int64   `json:"body"`  // bytes
	Shift    float64 `json:"shift"` // requests/s per second
}

type regionWire struct {
	Name  string  `json:"name"`
	Limit int     `json:"limit,omitempty"`
	Keep  float64 `json:"keep"`
}

type zoneWire struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

type targetWire struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	Conns   int    `json:"conns"`
}

type linkWire struct {
	Regions []string `json:"regions"`
	Rate    float64  `json:"rate"` // Mbit/s in each direction
}

type entryWire struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	Call string `json:"call,omitempty"`
	Peer string `json:"peer,omitempty"`
	Pass string `json:"pass,omitempty"`
}

type tenantWire struct {
	Name     string   `json:"name"`
	Digest   string   `json:"digest,omitempty"`
	Services []string `json:"services,omitempty"`
}

type drainWire struct {
	Name    string     `json:"name"`
	Targets []string   `json:"targets,omitempty"`
	Zone    string     `json:"zone,omitempty"`
	Region  string     `json:"region,omitempty"`
	Start   time.Time  `json:"start"`
	End     *time.Time `json:"end,omitempty"`
}

type blockWire struct {
	Prefix string `json:"prefix"`
	Zone   string `json:"zone"`
}

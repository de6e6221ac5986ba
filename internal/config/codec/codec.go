package codec

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"tamarackspool/internal/config/document"
)

// Decode returns the configuration in data after checking it as a whole; its client blocks are left out.
// An error is an *Error that names the place of each fault and what is accepted.
func Decode(data []byte) (*document.Document, error) {
	w, err := parse(data)
	if err != nil {
		return nil, err
	}
	return build(w)
}

// Encode returns the JSON form of the configuration, which names the parts that EncodeBlocks makes of its blocks.
func Encode(d *document.Document) ([]byte, error) {
	w := wire(d)
	parts, err := EncodeBlocks(d.Blocks())
	if err != nil {
		return nil, err
	}
	for _, p := range parts {
		w.Blocks = append(w.Blocks, Name(p))
	}
	return json.Marshal(w)
}

// Revise returns data as the given version in its canonical form, together with the checked configuration.
func Revise(data []byte, version uint64) ([]byte, *document.Document, error) {
	w, err := parse(data)
	if err != nil {
		return nil, nil, err
	}
	w.Version = version
	d, err := build(w)
	if err != nil {
		return nil, nil, err
	}
	out, err := json.Marshal(w)
	if err != nil {
		return nil, nil, fmt.Errorf("codec: %w", err)
	}
	return out, d, nil
}

// Parts returns the names of the parts that hold the client blocks of the document in data, which has been checked.
func Parts(data []byte) ([]string, error) {
	var s struct {
		Blocks []string `json:"blocks"`
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("codec: %w", err)
	}
	return s.Blocks, nil
}

// parse reads the JSON form and refuses unknown fields.
func parse(data []byte) (documentWire, error) {
	var r report
	var s sectionsWire
	if err := strict(data, &s); err != nil {
		r.add("document", "%v", err)
		return documentWire{}, r.err()
	}
	w := documentWire{
		Version:  s.Version,
		Services: elements[serviceWire](&r, "services", s.Services),
		Regions:  elements[regionWire](&r, "regions", s.Regions),
		Zones:    elements[zoneWire](&r, "zones", s.Zones),
		Targets:  elements[targetWire](&r, "targets", s.Targets),
		Links:    elements[linkWire](&r, "links", s.Links),
		Entries:  elements[entryWire](&r, "entries", s.Entries),
		Tenants:  elements[tenantWire](&r, "tenants", s.Tenants),
		Drains:   elements[drainWire](&r, "drains", s.Drains),
		Blocks:   elements[string](&r, "blocks", s.Blocks),
	}
	return w, r.err()
}

// elements reads a list one by one, so that a fault names the element.
func elements[T any](r *report, path string, raw []json.RawMessage) []T {
	list := make([]T, len(raw))
	for i, data := range raw {
		if err := strict(data, &list[i]); err != nil {
			place := fmt.Sprintf("%s[%d]", path, i)
			if t, ok := errors.AsType[*json.UnmarshalTypeError](err); ok && t.Field != "" {
				place += "." + t.Field
			}
			r.add(place, "%v", err)
		}
	}
	return list
}

// strict decodes exactly one JSON value without unknown fields.
func strict(data []byte, out any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the end of the document; one JSON object is accepted")
	}
	return lower(data)
}

// lower refuses field names with capitals, which encoding/json would take for the fields of this format.
func lower(data []byte) error {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return nil // a text or a list has no field names
	}
	for name := range fields {
		if name != strings.ToLower(name) {
			return fmt.Errorf("json: unknown field %q", name)
		}
	}
	return nil
}

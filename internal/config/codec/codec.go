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

// Decode returns the validated configuration in data, without its client address blocks.
// An error is an *Error that gives the path of each fault and what is accepted there.
func Decode(data []byte) (*document.Document, error) {
	w, err := parseDocument(data)
	if err != nil {
		return nil, err
	}
	return build(w)
}

// Encode returns the JSON form of the configuration, which references the parts that EncodeBlocks returns for its blocks.
func Encode(d *document.Document) ([]byte, error) {
	w := toWire(d)
	parts, err := EncodeBlocks(d.Blocks())
	if err != nil {
		return nil, err
	}
	for _, p := range parts {
		w.Blocks = append(w.Blocks, PartName(p))
	}
	return json.Marshal(w)
}

// WithVersion sets the version in data and returns the canonical JSON form together with the validated configuration.
func WithVersion(data []byte, version uint64) ([]byte, *document.Document, error) {
	w, err := parseDocument(data)
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

// BlockPartNames returns the names of the parts that hold the client address blocks of the document in data, which
// must have been validated.
func BlockPartNames(data []byte) ([]string, error) {
	var s struct {
		Blocks []string `json:"blocks"`
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("codec: %w", err)
	}
	return s.Blocks, nil
}

// parseDocument decodes the JSON form and rejects unknown fields.
func parseDocument(data []byte) (documentWire, error) {
	var r faultList
	var s sectionsWire
	if err := decodeStrict(data, &s); err != nil {
		r.addFault("document", "%v", err)
		return documentWire{}, r.err()
	}
	w := documentWire{
		Version:  s.Version,
		Services: decodeElements[serviceWire](&r, "services", s.Services),
		Regions:  decodeElements[regionWire](&r, "regions", s.Regions),
		Zones:    decodeElements[zoneWire](&r, "zones", s.Zones),
		Targets:  decodeElements[targetWire](&r, "targets", s.Targets),
		Links:    decodeElements[linkWire](&r, "links", s.Links),
		Entries:  decodeElements[entryWire](&r, "entries", s.Entries),
		Tenants:  decodeElements[tenantWire](&r, "tenants", s.Tenants),
		Drains:   decodeElements[drainWire](&r, "drains", s.Drains),
		Blocks:   decodeElements[string](&r, "blocks", s.Blocks),
	}
	return w, r.err()
}

// decodeElements decodes each element of a list separately, so that the path of a fault includes its index.
func decodeElements[T any](r *faultList, path string, raw []json.RawMessage) []T {
	list := make([]T, len(raw))
	for i, data := range raw {
		if err := decodeStrict(data, &list[i]); err != nil {
			fieldPath := fmt.Sprintf("%s[%d]", path, i)
			if t, ok := errors.AsType[*json.UnmarshalTypeError](err); ok && t.Field != "" {
				fieldPath += "." + t.Field
			}
			r.addFault(fieldPath, "%v", err)
		}
	}
	return list
}

// decodeStrict decodes exactly one JSON value and rejects unknown fields.
func decodeStrict(data []byte, out any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the end of the document; one JSON object is accepted")
	}
	return checkLowerCaseFields(data)
}

// checkLowerCaseFields rejects field names with capitals, because encoding/json matches names regardless of case.
func checkLowerCaseFields(data []byte) error {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return nil // a string or a list has no field names
	}
	for name := range fields {
		if name != strings.ToLower(name) {
			return fmt.Errorf("json: unknown field %q", name)
		}
	}
	return nil
}

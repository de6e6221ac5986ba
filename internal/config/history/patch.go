package history

import (
	"fmt"
	"regexp"
	"slices"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// growth bounds what the copy operations of one patch may add, in bytes, against exponential growth.
const growth = 16 << 20

// longestText bounds the author and the reason, so that 64 records fit into the head.
const longestText = 512

var identifier = regexp.MustCompile(`^[\x21-\x7e]{1,64}$`)

// Patch is a change that an operator asks for.
type Patch struct {
	Base   uint64   // Base is the version that the author saw.
	ID     string   // ID is 1 to 64 visible ASCII characters, chosen by the author; a repeat gives the first outcome.
	Who    string   // Who is the author.
	Why    string   // Why is the author's reason.
	Change []byte   // Change is an RFC 6902 JSON patch.
	Blocks [][]byte // Blocks are new parts with client blocks, which Change names by their hash.
}

func (p Patch) check() error {
	switch {
	case !identifier.MatchString(p.ID):
		return fmt.Errorf("id %q; 1 to 64 visible ASCII characters are accepted", p.ID)
	case p.Who == "" || len(p.Who) > longestText:
		return fmt.Errorf("who has %d bytes; 1 to %d are accepted", len(p.Who), longestText)
	case len(p.Why) > longestText:
		return fmt.Errorf("why has %d bytes; at most %d are accepted", len(p.Why), longestText)
	case p.Base == 0:
		return fmt.Errorf("base 0; the version that the author saw is accepted")
	}
	return nil
}

// apply returns the configuration after the patch; an error is the author's.
func (p Patch) apply(data []byte) ([]byte, error) {
	operations, err := jsonpatch.DecodePatch(p.Change)
	if err != nil {
		return nil, fmt.Errorf("patch: %w; an RFC 6902 JSON patch is accepted", err)
	}
	if len(operations) == 0 {
		return nil, fmt.Errorf("patch: no operation; an RFC 6902 JSON patch with at least one is accepted")
	}
	for i, o := range operations {
		if o.Kind() == "unknown" || !slices.Contains([]string{"add", "remove", "replace", "move", "copy", "test"}, o.Kind()) {
			return nil, fmt.Errorf("patch[%d].op: add, remove, replace, move, copy and test are accepted", i)
		}
		if path, err := o.Path(); err == nil && o.Kind() != "test" && (path == "/version" || path == "") {
			return nil, fmt.Errorf("patch[%d].path: %q; the version is set by the system and other paths are accepted", i, path)
		}
	}
	options := jsonpatch.NewApplyOptions()
	options.AccumulatedCopySizeLimit = growth
	out, err := operations.ApplyWithOptions(data, options)
	if err != nil {
		return nil, fmt.Errorf("patch: %w", err)
	}
	return out, nil
}

// Kind says how the submission of a patch ended.
type Kind uint8

// The kinds of outcomes; the zero value promises nothing.
const (
	// Unknown means that the patch may have been applied; the same id asks again.
	Unknown Kind = iota
	// Applied means that the patch made a version.
	Applied
	// Refused means that the patch has changed nothing and never will.
	Refused
)

// String returns the kind as operators see it.
func (k Kind) String() string {
	return [...]string{"unknown", "applied", "refused"}[min(k, Refused)]
}

// Outcome is the end of a submission.
type Outcome struct {
	kind    Kind
	version uint64
	reason  string
	changes []Audit
	record  Record
}

// NewOutcome returns an outcome; it is for implementations of the submitting interface in tests.
func NewOutcome(kind Kind, version uint64, reason string, changes []Audit) Outcome {
	return Outcome{kind: kind, version: version, reason: reason, changes: changes}
}

// Kind returns how the submission ended.
func (o Outcome) Kind() Kind { return o.kind }

// Version returns the version that the patch made, or for a refusal the version in force.
func (o Outcome) Version() uint64 { return o.version }

// Reason returns why the patch was refused or why its outcome is unknown.
func (o Outcome) Reason() string { return o.reason }

// Changes returns what has been changed since the base of a patch that was refused as outdated.
func (o Outcome) Changes() []Audit { return slices.Clone(o.changes) }

// Record returns the new version when this submission has made it, and whether it has.
func (o Outcome) Record() (Record, bool) { return o.record, o.record.version != 0 }

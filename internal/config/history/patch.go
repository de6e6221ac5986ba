package history

import (
	"fmt"
	"regexp"
	"slices"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// maxCopyBytes limits what the copy operations of one patch may add, to prevent exponential growth.
const maxCopyBytes = 16 << 20

// maxTextBytes limits the author and the reason, so that 64 records fit into the head.
const maxTextBytes = 512

var idPattern = regexp.MustCompile(`^[\x21-\x7e]{1,64}$`)

// Patch is a change requested by an operator.
type Patch struct {
	Base   uint64   // Base is the version to which the change applies.
	ID     string   // ID is an idempotency key of 1 to 64 visible ASCII characters, chosen by the author.
	Author string   // Author is the operator who submits the patch.
	Reason string   // Reason is the author's reason.
	Change []byte   // Change is an RFC 6902 JSON patch.
	Blocks [][]byte // Blocks are new parts with client address blocks, which Change references by their hash.
}

func (p Patch) check() error {
	switch {
	case !idPattern.MatchString(p.ID):
		return fmt.Errorf("id %q; 1 to 64 visible ASCII characters are accepted", p.ID)
	case p.Author == "" || len(p.Author) > maxTextBytes:
		return fmt.Errorf("who has %d bytes; 1 to %d are accepted", len(p.Author), maxTextBytes)
	case len(p.Reason) > maxTextBytes:
		return fmt.Errorf("why has %d bytes; at most %d are accepted", len(p.Reason), maxTextBytes)
	case p.Base == 0:
		return fmt.Errorf("base 0; the version to which the change applies is accepted")
	}
	return nil
}

// apply returns data changed by the patch. An error means that the patch is invalid for data.
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
	options.AccumulatedCopySizeLimit = maxCopyBytes
	out, err := operations.ApplyWithOptions(data, options)
	if err != nil {
		return nil, fmt.Errorf("patch: %w", err)
	}
	return out, nil
}

// OutcomeKind is the result of the submission of a patch.
type OutcomeKind uint8

// The kinds of outcomes. The zero value is Unknown, so that an unset outcome claims nothing.
const (
	// Unknown means that the patch may have been applied; submitting it again with the same id gives the outcome.
	Unknown OutcomeKind = iota
	// Applied means that the patch was committed as a new version.
	Applied
	// Refused means that the patch has changed nothing and will not take effect later.
	Refused
)

// String returns the name of the kind in the operators' API.
func (k OutcomeKind) String() string {
	return [...]string{"unknown", "applied", "refused"}[min(k, Refused)]
}

// Outcome is the result of a submission with its details.
type Outcome struct {
	kind    OutcomeKind
	version uint64
	reason  string
	changes []AuditRecord
	record  Record
}

// NewOutcome returns an outcome. It is meant for fakes of a history in tests.
func NewOutcome(kind OutcomeKind, version uint64, reason string, changes []AuditRecord) Outcome {
	return Outcome{kind: kind, version: version, reason: reason, changes: changes}
}

// Kind returns whether the patch was applied, was refused or has an unknown outcome.
func (o Outcome) Kind() OutcomeKind { return o.kind }

// Version returns the version that the patch created, or for a refusal the committed version.
func (o Outcome) Version() uint64 { return o.version }

// Reason returns why the patch was refused or why its outcome is unknown.
func (o Outcome) Reason() string { return o.reason }

// Changes returns the records of all changes since the base of a patch that was refused because its base is outdated.
func (o Outcome) Changes() []AuditRecord { return slices.Clone(o.changes) }

// Record returns the new version if this submission committed it, and whether it did.
func (o Outcome) Record() (Record, bool) { return o.record, o.record.version != 0 }

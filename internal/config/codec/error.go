package codec

import (
	"fmt"
	"strings"
)

// maxFaults is the largest number of faults that one error lists.
const maxFaults = 20

// Fault is one validation failure of a document.
type Fault struct{ path, text string }

// Path returns the path of the faulty value in the document, such as "targets[3].zone".
func (f Fault) Path() string { return f.path }

// Message returns the invalid value and what is accepted instead.
func (f Fault) Message() string { return f.text }

// Error lists the validation failures of a document.
type Error struct{ faults []Fault }

// Faults returns the faults in the order of detection; the slice must not be changed.
func (e *Error) Faults() []Fault { return e.faults }

// Error returns all faults in one line.
func (e *Error) Error() string {
	texts := make([]string, 0, len(e.faults))
	for _, f := range e.faults {
		texts = append(texts, f.path+": "+f.text)
	}
	return "codec: " + strings.Join(texts, "; ")
}

// faultList collects faults while a document is decoded.
type faultList struct{ faults []Fault }

func (r *faultList) addFault(path, format string, args ...any) {
	if len(r.faults) < maxFaults {
		r.faults = append(r.faults, Fault{path, fmt.Sprintf(format, args...)})
	}
}

func (r *faultList) err() error {
	if len(r.faults) == 0 {
		return nil
	}
	return &Error{r.faults}
}

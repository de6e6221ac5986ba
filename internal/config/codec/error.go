package codec

import (
	"fmt"
	"strings"
)

// most bounds how many faults one error lists.
const most = 20

// Fault is one thing that is wrong with a document.
type Fault struct{ path, text string }

// Path returns the place in the document, such as "targets[3].zone".
func (f Fault) Path() string { return f.path }

// Text returns what is wrong and what is accepted.
func (f Fault) Text() string { return f.text }

// Error lists what is wrong with a document.
type Error struct{ faults []Fault }

// Faults returns the faults in the order of the document; the slice must not be changed.
func (e *Error) Faults() []Fault { return e.faults }

// Error returns all faults in one line.
func (e *Error) Error() string {
	texts := make([]string, 0, len(e.faults))
	for _, f := range e.faults {
		texts = append(texts, f.path+": "+f.text)
	}
	return "codec: " + strings.Join(texts, "; ")
}

// report collects faults while a document is read.
type report struct{ faults []Fault }

func (r *report) add(path, format string, args ...any) {
	if len(r.faults) < most {
		r.faults = append(r.faults, Fault{path, fmt.Sprintf(format, args...)})
	}
}

func (r *report) err() error {
	if len(r.faults) == 0 {
		return nil
	}
	return &Error{r.faults}
}

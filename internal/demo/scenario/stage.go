package scenario

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"tamarackspool/internal/demo/deployment"
	"tamarackspool/internal/standin/caller"
)

// scriptState is the state of one script. Only the script's goroutine uses it.
type scriptState struct {
	live      *deployment.Live
	log       *logBuffer
	tickets   map[string]string
	orders    map[string]*caller.Record
	transfers map[string]*heldTransfer
}

func newScriptState() *scriptState {
	return &scriptState{
		log: &logBuffer{}, tickets: make(map[string]string),
		orders: make(map[string]*caller.Record), transfers: make(map[string]*heldTransfer),
	}
}

// close cancels all held transfers and closes the deployment.
func (s *scriptState) close() {
	if s.live == nil {
		return
	}
	for _, f := range s.transfers {
		f.cancel()
		<-f.done
	}
	s.live.Close()
}

// verb is a command of the scripts.
type verb struct {
	name  string
	usage string // usage lists the arguments.
	run   func(s *scriptState, out io.Writer, args []string) error
}

// Usage returns the names of all verbs with their arguments.
func Usage() map[string]string {
	all := map[string]string{"exits": "STATUS VERB [ARGUMENT...]"}
	for _, v := range verbs() {
		all[v.name] = v.usage
	}
	return all
}

// errUsage is returned by a verb that is called with invalid arguments.
var errUsage = errors.New("scenario: invalid arguments")

// verbs returns all verbs except exits, which runs another verb.
func verbs() []verb {
	return []verb{
		{"start", "[-deployment NAME] [-regions N] [-entries N] [-targets N] [-slots N] [-shift N] [-rate BYTES] [-seed N]", (*scriptState).start},
		{"load", "reads|orders|keyed|uploads RATE [REGION...] | off", (*scriptState).load},
		{"await", "CONDITION [ARGUMENT...]", (*scriptState).await},
		{"fault", "store|region|part|join|silence|target|reports|list ARGUMENT...", (*scriptState).fault},
		{"entry", "kill|replace|pause|wake|stop ENTRY", (*scriptState).entry},
		{"ticket", "NAME ENTRY", (*scriptState).ticket},
		{"lookup", "ENTRY REGION read|order|upload", (*scriptState).lookup},
		{"order", "NAME ENTRY ticket|key TEXT", (*scriptState).order},
		{"flight", "upload|read NAME ENTRY | finish NAME", (*scriptState).flight},
		{"patch", "[-base N] [-id ID] ENTRY JSON", (*scriptState).patch},
		{"race", "ENTRY ENTRY JSON", (*scriptState).race},
		{"drain", "[-id ID] ENTRY NAME TARGET...", (*scriptState).drain},
		{"audit", "ENTRY", (*scriptState).audit},
		{"status", "ENTRY", (*scriptState).status},
		{"visit", "TARGET", (*scriptState).visit},
		{"check", "promises [PREFIX...] | agree | audit ENTRY VERSION", (*scriptState).check},
	}
}

// logBuffer collects the events of all entries and is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write appends p.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

// text returns everything written so far.
func (b *logBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

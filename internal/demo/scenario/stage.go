package scenario

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"tamarackspool/internal/demo/deployment"
	"tamarackspool/internal/standin/caller"
)

// stage is the state of one script; only the script's goroutine uses it.
type stage struct {
	live    *deployment.Live
	log     *buffer
	tickets map[string]string
	orders  map[string]*caller.Record
	flights map[string]*flight
}

func newStage() *stage {
	return &stage{
		log: &buffer{}, tickets: make(map[string]string),
		orders: make(map[string]*caller.Record), flights: make(map[string]*flight),
	}
}

// close ends the deployment and all requests.
func (s *stage) close() {
	if s.live == nil {
		return
	}
	for _, f := range s.flights {
		f.cancel()
		<-f.done
	}
	s.live.Close()
}

// verb is a command of the scripts.
type verb struct {
	name string
	use  string // use names the arguments.
	run  func(s *stage, out io.Writer, args []string) error
}

// Usage returns the names of all verbs with their arguments.
func Usage() map[string]string {
	all := map[string]string{"exits": "STATUS VERB [ARGUMENT...]"}
	for _, v := range verbs() {
		all[v.name] = v.use
	}
	return all
}

// errUsage is the error of a verb with wrong arguments.
var errUsage = errors.New("scenario: wrong arguments")

// verbs returns all verbs but exits, which runs another one.
func verbs() []verb {
	return []verb{
		{"start", "[-deployment NAME] [-regions N] [-entries N] [-targets N] [-slots N] [-shift N] [-rate BYTES] [-seed N]", (*stage).start},
		{"load", "reads|orders|keyed|uploads RATE [REGION...] | off", (*stage).load},
		{"await", "CONDITION [ARGUMENT...]", (*stage).await},
		{"fault", "store|region|part|join|silence|target|reports|list ARGUMENT...", (*stage).fault},
		{"entry", "kill|replace|pause|wake|stop ENTRY", (*stage).entry},
		{"ticket", "NAME ENTRY", (*stage).ticket},
		{"lookup", "ENTRY REGION read|order|upload", (*stage).lookup},
		{"order", "NAME ENTRY ticket|key TEXT", (*stage).order},
		{"flight", "upload|read NAME ENTRY | finish NAME", (*stage).flight},
		{"patch", "[-base N] [-id ID] ENTRY JSON", (*stage).patch},
		{"race", "ENTRY ENTRY JSON", (*stage).race},
		{"drain", "[-id ID] ENTRY NAME TARGET...", (*stage).drain},
		{"audit", "ENTRY", (*stage).audit},
		{"status", "ENTRY", (*stage).status},
		{"visit", "TARGET", (*stage).visit},
		{"check", "promises [PREFIX...] | agree | audit ENTRY VERSION", (*stage).check},
	}
}

// buffer collects the events of all entries and is safe for concurrent use.
type buffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write appends p.
func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

// text returns all that was written.
func (b *buffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

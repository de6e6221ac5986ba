package target

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ServeHTTP serves requests, GET /load, and GET and DELETE of /attempt/<id>.
// A request with the query size=N gets a response of N bytes, one with a body
// gets its body back, and any other gets a line that names the target.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id, ok := strings.CutPrefix(r.URL.Path, "/attempt/"); ok {
		t.serveAttempt(w, r, id)
		return
	}
	if r.URL.Path == "/load" {
		t.serveLoad(w, r)
		return
	}
	t.serveRun(w, r, time.Now())
}

func (t *Target) serveAttempt(w http.ResponseWriter, r *http.Request, id string) {
	state := "unknown"
	switch {
	case r.Method == http.MethodDelete && t.currentFaults().IgnoresDeadlines:
		state = "running"
	case r.Method == http.MethodDelete:
		state = t.attempts.drop(id)
	default:
		state = t.attempts.get(id)
	}
	writeJSON(w, map[string]any{"state": state, "up": time.Since(t.started).Milliseconds()})
}

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data) // An error means that the client has disconnected.
}

func writeShed(w http.ResponseWriter, reason string) {
	w.Header().Set("Shed", "1")
	w.Header().Set("Reason", reason)
	w.WriteHeader(http.StatusTooManyRequests)
}

func (t *Target) serveRun(w http.ResponseWriter, r *http.Request, arrived time.Time) {
	f := t.currentFaults()
	if f.KillBeforeRun {
		t.Kill()
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("Attempt")
	if !t.attempts.set(id, "waiting") && !f.IgnoresDeadlines {
		writeShed(w, "dropped")
		return
	}
	d, gate, ok := t.takeSlot()
	if !ok {
		t.attempts.drop(id)
		writeShed(w, "full")
		return
	}
	defer t.releaseSlot()
	select {
	case t.arrivals <- struct{}{}:
	default:
	}
	if gate != nil {
		<-gate
	}
	if end := startDeadline(r, arrived); !f.IgnoresDeadlines && !end.IsZero() && !time.Now().Before(end) {
		t.attempts.drop(id)
		writeShed(w, "deadline")
		return
	}
	if !t.attempts.set(id, "running") && !f.IgnoresDeadlines {
		writeShed(w, "dropped")
		return
	}
	defer t.attempts.set(id, "done")
	t.execute(w, r, d)
}

func (t *Target) execute(w http.ResponseWriter, r *http.Request, d time.Duration) {
	f := t.currentFaults()
	times := 1
	if f.RunTwice {
		times = 2
	}
	t.record(r, times)
	time.Sleep(d + f.ResponseDelay)
	if f.KillAfterRun {
		t.Kill()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Served-Tenant", r.Header.Get("Tenant"))
	size, err := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64)
	switch {
	case err == nil && size >= 0:
		t.writePattern(w, size, f.TruncateResponses)
	case r.ContentLength != 0:
		t.echo(w, r, f.TruncateResponses)
	default:
		line := t.s.Name + " " + r.Method + " " + r.URL.RequestURI() + " " + r.Header.Get("Tenant") + "\n"
		w.Header().Set("Content-Length", strconv.Itoa(len(line)))
		if f.TruncateResponses {
			abort(w, []byte(line[:len(line)/2]))
		}
		_, _ = io.WriteString(w, line)
	}
}

// abort sends a part of a response and then closes the connection.
func abort(w http.ResponseWriter, part []byte) {
	_, _ = w.Write(part)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

var pattern = []byte(strings.Repeat("tamarack", 4<<10))

func (t *Target) writePattern(w http.ResponseWriter, size int64, truncate bool) {
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	end := int64(0)
	if truncate {
		end = size / 2
	}
	for remaining := size; remaining > end; {
		n, err := w.Write(pattern[:min(remaining-end, int64(len(pattern)))])
		if err != nil {
			return
		}
		remaining -= int64(n)
	}
	if truncate {
		abort(w, nil)
	}
}

func (t *Target) echo(w http.ResponseWriter, r *http.Request, truncate bool) {
	if r.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
	}
	// The response starts while the request body is still arriving.
	_ = http.NewResponseController(w).EnableFullDuplex()
	if truncate {
		n := max(1, r.ContentLength/2)
		_, _ = io.CopyN(w, r.Body, n)
		abort(w, nil)
	}
	if _, err := io.Copy(w, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

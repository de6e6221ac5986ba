package event_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"tamarackspool/internal/record/event"
)

// Guards against a request that blocks because the reader of the log has stopped, and against dropped lines that
// are not counted.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, writer := io.Pipe()
		s := event.NewAsyncWriter(writer, 10_000, 1_000_000)
		l := event.New(log.NewLogfmtLogger(s))
		began := time.Now()
		for range 1000 {
			l.Log(event.RequestPlaced, "id", "0123456789abcdef", "target", "i-1")
		}
		if took := time.Since(began); took != 0 {
			t.Errorf("1000 lines took %v of simulated time", took)
		}
		if s.DroppedLines() < 500 || s.DroppedLines() == 1000 {
			t.Errorf("%d of 1000 lines dropped with a buffer for about 120", s.DroppedLines())
		}
		_ = reader.Close()
		<-s.Close()
	})
}

// Guards against a busy entry that writes to the platform's log without a rate limit.
func TestAsyncWriterLimitsItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		s := event.NewAsyncWriter(&out, 2_000, 1_000)
		for range 1000 {
			_, _ = s.Write([]byte(strings.Repeat("x", 99) + "\n"))
			time.Sleep(10 * time.Millisecond)
		}
		<-s.Close()
		if n := out.Len(); n < 10_000 || n > 12_100 {
			t.Errorf("%d bytes in 10 s at 1000 bytes/s with bursts of 2000", n)
		}
		if got := int(s.DroppedLines()) + out.Len()/100; got != 1000 {
			t.Errorf("%d lines written or counted as dropped, want 1000", got)
		}
	})
}

// failingWriter is an output whose writes fail.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("no space") }

// Guards against a failing output that stops the process, and against failed writes that are not counted.
func TestAsyncWriterCountsFailedWrites(t *testing.T) {
	s := event.NewAsyncWriter(failingWriter{}, 1000, 1000)
	_, _ = s.Write([]byte("line\n"))
	<-s.Close()
	if s.FailedWrites() != 1 {
		t.Errorf("%d failed writes, want 1", s.FailedWrites())
	}
}

// Guards against a level that writes the wrong events, and against an unknown level that is accepted.
func TestLevels(t *testing.T) {
	for name, want := range map[string]string{"none": "", "beliefs": "1001", "requests": "1001 4005"} {
		level, err := event.ParseLevel(name)
		if err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		l := event.New(log.NewLogfmtLogger(&out)).WithLevel(level)
		l.Log(event.Started)
		l.Log(event.RequestPlaced)
		var got []string
		for _, n := range []string{"1001", "4005"} {
			if strings.Contains(out.String(), "event="+n) {
				got = append(got, n)
			}
		}
		if strings.Join(got, " ") != want {
			t.Errorf("%s: events %v, want %q", name, got, want)
		}
	}
	if _, err := event.ParseLevel("loud"); err == nil {
		t.Error("level loud is accepted")
	}
}

package traffic_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"tamarackspool/internal/record/traffic"
)

// Guards against bytes that are not counted or are counted for the wrong direction.
func TestMeterCountsBothDirections(t *testing.T) {
	var m traffic.Meter
	near, far := net.Pipe()
	dial := m.WrapDial(func(context.Context, string, string) (net.Conn, error) { return near, nil })
	c, err := dial(t.Context(), "tcp", "a")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		_, _ = io.CopyN(io.Discard, far, 3)
		_, _ = far.Write([]byte("12345"))
		_ = far.Close()
	}()
	_, _ = c.Write([]byte("abc"))
	_, _ = io.ReadAll(c)
	if m.Sent() != 3 || m.Received() != 5 {
		t.Errorf("sent %d, received %d, want 3 and 5", m.Sent(), m.Received())
	}
}

// Guards against a failed dial that returns a connection or another error.
func TestMeterPassesFailuresOn(t *testing.T) {
	var m traffic.Meter
	want := errors.New("refused")
	c, err := m.WrapDial(func(context.Context, string, string) (net.Conn, error) { return nil, want })(t.Context(), "tcp", "a")
	if c != nil || !errors.Is(err, want) {
		t.Errorf("%v, %v", c, err)
	}
}

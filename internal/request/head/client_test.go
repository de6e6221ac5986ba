package head_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"tamarackspool/internal/request/head"
)

// Guards against the answer of a service that is believed although a field name in its head contains a space, or its status is
// undefined, and against a connection that stays in use after it.
func TestDoRejectsInvalidHeads(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, c := range map[string]struct {
		text  string
		valid bool
	}{
		"valid":               {ok, true},
		"valid interim":       {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok, true},
		"valid trailer":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nSum: 1\r\n\r\n", true},
		"space in a name":     {"HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 2\r\n\r\nok", false},
		"length with a space": {"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", false},
		"coding with a space": {"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		"control byte":        {"HTTP/1.1 200 OK\r\nBad\x01Name: x\r\nContent-Length: 2\r\n\r\nok", false},
		"without content":     {"HTTP/1.1 204 No Content\r\nBad : x\r\n\r\n", false},
		"empty body":          {"HTTP/1.1 200 OK\r\nBad : x\r\nContent-Length: 0\r\n\r\n", false},
		"interim":             {"HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\n" + ok, false},
		"continue":            {"HTTP/1.1 100 Continue\r\nBad Name: x\r\n\r\n" + ok, false},
		"status 000":          {"HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n", false},
		"000 before another":  {"HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n" + ok, false},
		"status 600":          {"HTTP/1.1 600 Trouble\r\nContent-Length: 0\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			var conns, open atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, rw, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				conns.Add(1)
				open.Add(1)
				defer open.Add(-1)
				for {
					if _, err := io.WriteString(conn, c.text); err != nil {
						return
					}
					if _, err := http.ReadRequest(rw.Reader); err != nil {
						return
					}
				}
			}))
			defer s.Close()
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for range 3 {
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL, nil)
				if err != nil {
					t.Fatal(err)
				}
				resp, err := head.Do(client, r)
				if err == nil {
					_, err = io.ReadAll(resp.Body)
					_ = resp.Body.Close()
				}
				if (err == nil) != c.valid || err != nil && !errors.Is(err, head.ErrInvalid) {
					t.Errorf("error %v, valid: %v", err, c.valid)
				}
			}
			if n := conns.Load(); (n == 1) != c.valid || !c.valid && n != 3 {
				t.Errorf("%d connections for 3 requests", n)
			}
		})
	}
}

package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"tamarackspool/internal/request/upstream"
	"tamarackspool/internal/soak/proxy"
)

// idlePause is the idle time between the orders of the test.
const idlePause = 200 * time.Millisecond

// Guards against an at-most-once request that is lost on a connection which something between the two ends has forgotten
// while it was idle. Played on sockets, where nothing shows it: the bytes are acknowledged and dropped.
func TestOnceCallsAvoidForgottenConnections(t *testing.T) {
	ran := make(chan string, 10)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		ran <- r.Header.Get("Id")
	}))
	defer target.Close()
	between, err := proxy.New(strings.TrimPrefix(target.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer between.Close()
	p := upstream.New(upstream.NewDial(), nil)
	defer p.Close()
	limit, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for i := range 4 {
		a, err := p.Do(limit, upstream.Call{
			Address: between.Address(), Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {fmt.Sprint(i)}}, Body: []byte("order"), AtMostOnce: true,
			Classify: func(int, http.Header) upstream.AnswerClass { return upstream.Matching },
		})
		if err != nil {
			t.Fatalf("order %d: %v", i, err)
		}
		if a.Status != http.StatusOK || <-ran != fmt.Sprint(i) {
			t.Fatalf("order %d: %v", i, a)
		}
		between.Silence()
		time.Sleep(idlePause)
	}
}

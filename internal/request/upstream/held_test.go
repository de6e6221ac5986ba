package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"tamarackspool/internal/request/upstream"
)

// large answers a request with a body of the given size, with its length or in chunks.
func large(size int, chunked bool) script {
	return func(c net.Conn, br *bufio.Reader) {
		for {
			r, _ := readRequest(br)
			if r == nil {
				return
			}
			id := r.Header.Get("Id")
			if !chunked {
				reply(c, id, strings.Repeat(id, size))
				continue
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, size, strings.Repeat(id, size))
		}
	}
}

// Guards against memory that grows with the number of large answers whose callers read slowly, against answers that stay counted after
// they are released, and against a body that is damaged where only a small part of it is held.
func TestHeldAnswersAreBounded(t *testing.T) {
	const limit, answers, size = 1 << 20, 40, 300 << 10
	for name, chunked := range map[string]bool{"length": false, "chunked": true} {
		t.Run(name, func(t *testing.T) {
			var scripts []script
			for range answers + 1 {
				scripts = append(scripts, large(size, chunked))
			}
			r := newRig(scripts...)
			r.pool.LimitHeldBytes(limit)
			open := func() *upstream.Answer {
				a, err := r.pool.Do(context.Background(), upstream.Call{
					Address: "t", Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{"Id": {"x"}},
					Classify: func(int, http.Header) upstream.AnswerClass { return upstream.Matching },
				})
				if err != nil {
					t.Fatal(err)
				}
				return a
			}
			var held []*upstream.Answer
			kept := int64(0)
			for range answers {
				a := open()
				held = append(held, a)
				kept += int64(len(a.Body))
			}
			if kept > limit+answers*16<<10 || kept != r.pool.HeldBytes() {
				t.Errorf("%d bytes are held, %d counted, with a limit of %d", kept, r.pool.HeldBytes(), limit)
			}
			for i, a := range held {
				rest, err := io.ReadAll(a.BodyRest)
				if got := len(a.Body) + len(rest); err != nil || got != size || strings.Trim(string(rest), "x") != "" {
					t.Errorf("answer %d has %d bytes, %v", i, got, err)
				}
				a.Discard()
				a.Release()
			}
			if n := r.pool.HeldBytes(); n != 0 {
				t.Errorf("%d bytes are counted after all answers have been released", n)
			}
			if a := open(); len(a.Body) != 256<<10 {
				t.Errorf("%d bytes are read at once when nothing is held", len(a.Body))
			}
		})
	}
}

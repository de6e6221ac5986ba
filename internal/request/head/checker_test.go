package head_test

import (
	"bufio"
	"errors"
	"net/http"
	"strings"
	"testing"

	"tamarackspool/internal/request/head"
)

// Guards against an answer that is rejected although its head is valid, wherever it is divided on the way.
func TestValidHeadsPass(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK: with a colon and a\ttab\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA:\r\nB: \r\nC:c\r\nD: \t d e \t\r\nE: \xe4\xf6\xfc\r\nF: a: b\r\n\r\n body: with\r\n lines\x00",
		"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: x\r\n\r\n",
		"HTTP/1.1 200 OK\nA: b\n\n body",
	} {
		for i := range text {
			var c head.Checker
			br := bufio.NewReader(strings.NewReader(text[:i]))
			_, _ = br.Peek(i)
			if err := errors.Join(c.Expect(br), c.Check([]byte(text[i:]))); err != nil {
				t.Errorf("%q in two parts at %d: %v", text, i, err)
			}
		}
	}
}

// Guards against a head that passes, or not, by the way in which its bytes arrive, and against one that net/http parses with
// a field name that is not valid.
func FuzzChecker(f *testing.F) {
	for _, lines := range []string{"A: b", "A B: c", "A : b", " A: b", "A: b\r\n\tC: d", "A\x01: b", ": b", "A", "A\rB: c", "\r", "A: b\r\n\r"} {
		f.Add([]byte("HTTP/1.1 200 OK\r\n"+lines+"\r\nContent-Length: 2\r\n\r\nok"), 20)
	}
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		var whole, parts, bytes head.Checker
		for _, c := range []*head.Checker{&whole, &parts, &bytes} {
			_ = c.Expect(bufio.NewReader(strings.NewReader("")))
		}
		want := whole.Check(text)
		cut = max(0, min(cut, len(text)))
		_ = parts.Check(text[:cut])
		got := parts.Check(text[cut:])
		for _, b := range text {
			_ = bytes.Check([]byte{b})
		}
		if (want == nil) != (got == nil) || (want == nil) != (bytes.Check(nil) == nil) {
			t.Errorf("%q: %v at once, %v in two parts, %v by bytes", text, want, got, bytes.Check(nil))
		}
		if want != nil && !errors.Is(want, head.ErrInvalid) {
			t.Errorf("%q: %v", text, want)
		}
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(string(text))), nil)
		if err != nil || want != nil {
			return
		}
		if err := head.CheckNames(resp.Header); err != nil {
			t.Errorf("%q passes: %v", text, err)
		}
	})
}

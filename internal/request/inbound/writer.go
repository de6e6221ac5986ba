package inbound

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// writer writes one answer to a connection.
type writer struct {
	bw  *bufio.Writer
	raw net.Conn
}

// hopByHop is the set of headers that apply to a single connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true,
}

// EndToEndHeaders returns the headers without the hop-by-hop ones: the fixed set
// and those that the Connection header names.
func EndToEndHeaders(h http.Header) http.Header {
	named := make(map[string]bool)
	for _, line := range h["Connection"] {
		for token := range strings.SplitSeq(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	kept := make(http.Header, len(h)+2)
	for name, values := range h {
		if !hopByHop[name] && !named[name] {
			kept[name] = values
		}
	}
	return kept
}

func (w writer) write(r *Request, a *Answer, closeConn bool) error {
	noBody := r.Method == http.MethodHead || a.Status == http.StatusNoContent || a.Status == http.StatusNotModified
	chunked := a.Length < 0 && !noBody && !r.http10
	w.writeHead(a, closeConn, chunked, noBody)
	if noBody {
		return w.flush()
	}
	if err := w.writePiece(a.Body, chunked); err != nil {
		return err
	}
	if a.BodyRest != nil {
		a.release() // The rest may last long; what has been written need not be kept for it.
		if err := w.streamRest(a.BodyRest, chunked); err != nil {
			return err
		}
	}
	if chunked {
		_, _ = w.bw.WriteString("0\r\n\r\n")
	}
	return w.flush()
}

func (w writer) writeHead(a *Answer, closeConn, chunked, noBody bool) {
	text := http.StatusText(a.Status)
	if text == "" {
		text = "Status"
	}
	_, _ = w.bw.WriteString("HTTP/1.1 " + strconv.Itoa(a.Status) + " " + text + "\r\n")
	for name, values := range EndToEndHeaders(a.Header) {
		for _, v := range values {
			_, _ = w.bw.WriteString(name + ": " + v + "\r\n")
		}
	}
	switch {
	case chunked:
		_, _ = w.bw.WriteString("Transfer-Encoding: chunked\r\n")
	case a.Status == http.StatusNoContent || noBody && a.Length < 0:
	case a.Length >= 0:
		_, _ = w.bw.WriteString("Content-Length: " + strconv.FormatInt(a.Length, 10) + "\r\n")
	}
	if closeConn {
		_, _ = w.bw.WriteString("Connection: close\r\n")
	}
	_, _ = w.bw.WriteString("\r\n")
}

func (w writer) writePiece(b []byte, chunked bool) error {
	if len(b) == 0 {
		return nil
	}
	if chunked {
		_, _ = w.bw.WriteString(strconv.FormatInt(int64(len(b)), 16) + "\r\n")
	}
	_ = w.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := w.bw.Write(b)
	if chunked {
		_, _ = w.bw.WriteString("\r\n")
	}
	return err
}

func (w writer) streamRest(rest io.Reader, chunked bool) error {
	b := make([]byte, 16<<10)
	for {
		n, err := rest.Read(b)
		if werr := w.writePiece(b[:n], chunked); werr != nil {
			return werr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := w.flush(); err != nil {
			return err
		}
	}
}

func (w writer) flush() error {
	_ = w.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	return w.bw.Flush()
}

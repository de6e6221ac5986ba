package head

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ErrInvalid is matched by every error of this package.
var ErrInvalid = errors.New("invalid head")

// Checker checks the field lines of heads while their bytes are read. It begins with the status line of a head at each call
// of Expect; until the first, it ignores all bytes. It is not safe for concurrent use.
type Checker struct {
	part   part
	err    error
	http10 bool // http10 is set for a status line of HTTP/1.0, which has no transfer codings.

	start  [len(transferCoding) + 1]byte // start holds the first bytes of the status line or of the field name.
	length int                           // length is the number of bytes in start.
}

const (
	transferCoding = "Transfer-Encoding"
	http11         = "HTTP/1.1"
)

// part is the part of a head that the next byte belongs to.
type part uint8

const (
	outside    part = iota // outside is no part of a head.
	statusLine             // statusLine ends with its line feed.
	lineStart              // lineStart is the first byte of a line.
	emptyLine              // emptyLine is what follows a carriage return at the start of a line.
	fieldName              // fieldName ends with its colon.
	fieldValue             // fieldValue ends with its line feed.
)

// Expect begins the check of the head that the reader is about to read, and checks the bytes of it that are buffered.
func (c *Checker) Expect(br *bufio.Reader) error {
	*c = Checker{part: statusLine}
	buffered, _ := br.Peek(br.Buffered()) // Bytes that are buffered need no read, which could fail.
	return c.Check(buffered)
}

// Check checks the next bytes that are read from the connection; those behind the head are ignored. The error matches
// ErrInvalid and is returned until the next call of Expect.
func (c *Checker) Check(b []byte) error {
	for len(b) > 0 && c.part != outside && c.err == nil {
		switch c.part {
		case statusLine, fieldValue:
			line, rest, ended := bytes.Cut(b, []byte{'\n'})
			if c.part == statusLine {
				c.keep(line)
				c.http10 = string(c.start[:min(c.length, len(http11))]) < http11
			}
			if ended {
				c.part = lineStart
			}
			b = rest
		case lineStart:
			b = c.checkLineStart(b)
		case emptyLine:
			if b[0] != '\n' {
				c.reject('\r')
				break
			}
			c.part = outside
		case fieldName:
			b = c.checkName(b)
		}
	}
	return c.err
}

// checkLineStart checks the first byte of a line and returns what belongs to its next part.
func (c *Checker) checkLineStart(b []byte) []byte {
	switch b[0] {
	case '\n':
		c.part = outside
	case '\r':
		c.part = emptyLine
	case ' ', '\t':
		c.err = fmt.Errorf("%w: folded line", ErrInvalid)
	case ':':
		c.err = fmt.Errorf("%w: empty field name", ErrInvalid)
	default:
		c.part, c.length = fieldName, 0
		return b
	}
	return b[1:]
}

// checkName checks the bytes of a field name and returns what follows them.
func (c *Checker) checkName(b []byte) []byte {
	for i, x := range b {
		switch {
		case x == ':':
			c.keep(b[:i])
			if c.http10 && strings.EqualFold(string(c.start[:c.length]), transferCoding) {
				c.err = fmt.Errorf("%w: transfer coding in HTTP/1.0", ErrInvalid)
			}
			c.part = fieldValue
			return b[i+1:]
		case !httpguts.IsTokenRune(rune(x)):
			c.reject(x)
			return nil
		}
	}
	c.keep(b)
	return nil
}

// keep appends bytes to start as far as there is room.
func (c *Checker) keep(b []byte) { c.length += copy(c.start[c.length:], b) }

func (c *Checker) reject(b byte) {
	c.err = fmt.Errorf("%w: byte %q in a field name", ErrInvalid, b)
}

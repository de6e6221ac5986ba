package world

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"tamarackspool/internal/soak/ledger"
	"tamarackspool/platform/platformtest"
)

const (
	callerTimeout   = 4 * time.Second        // callerTimeout is the deadline of a request.
	lookUpTTL       = time.Second            // lookUpTTL is how long a caller caches a look-up.
	meanCallerPause = 120 * time.Millisecond // meanCallerPause is the mean pause between two requests of a caller.
	disconnectShare = 0.03                   // disconnectShare is the fraction of requests whose caller disconnects early.
	uploadBytes     = 60_000                 // uploadBytes is the body size of an upload in bytes.
)

// caller sends one request after another. It keeps its connection until the
// entry closes it, also while the entry is stopping.
type caller struct {
	w      *World
	number int
	random *rand.Rand
	client *http.Client

	addresses []string
	lookedUp  time.Time
	entry     string
	conn      net.Conn
	br        *bufio.Reader
	sent      int
}

func (c *caller) run(ctx context.Context) {
	defer c.closeConn()
	for ctx.Err() == nil {
		pause := time.Duration(float64(meanCallerPause) * (0.5 + c.random.Float64()))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		c.lookUp(ctx)
		if c.conn == nil && !c.dial(ctx) {
			continue
		}
		c.sendRequest()
	}
}

func (c *caller) lookUp(ctx context.Context) {
	if time.Since(c.lookedUp) < lookUpTTL {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lookUpTTL)
	defer cancel()
	directory := c.w.directory(c.random)
	if directory == "" {
		return
	}
	zone := zoneNames[c.number%len(zoneNames)]
	if found, err := platformtest.LookUp(ctx, c.client, directory, zones[zone], zone); err == nil && len(found) > 0 {
		c.addresses, c.lookedUp = found, time.Now()
	}
}

func (c *caller) dial(ctx context.Context) bool {
	if len(c.addresses) == 0 {
		return false
	}
	c.entry = c.addresses[c.random.IntN(len(c.addresses))]
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(ctx, "tcp", c.entry)
	if err != nil {
		c.lookedUp = time.Time{}
		return false
	}
	c.conn, c.br = conn, bufio.NewReader(conn)
	return true
}

func (c *caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// nextRequest draws the next request.
func (c *caller) nextRequest() platformtest.Request {
	c.sent++
	a := platformtest.Request{
		Host: "h", ID: fmt.Sprintf("c%d-%d", c.number, c.sent), Timeout: callerTimeout,
		Object: fmt.Sprint(c.random.IntN(30)), Method: http.MethodGet,
	}
	switch n := c.random.IntN(10); {
	case n < 4:
		a.Path = "/r/x?n=" + a.ID
	case n < 6:
		a.Path = movingPrefix + a.ID
	case n < 9:
		a.Method, a.Path, a.Body = http.MethodPost, "/o/"+a.ID, "one gift"
	default:
		a.Method, a.Path, a.Body = http.MethodPost, "/u/"+a.ID, strings.Repeat("u", uploadBytes)
	}
	return a
}

// sendRequest sends one request, or two pipelined reads, and records the results.
func (c *caller) sendRequest() {
	requests := []platformtest.Request{c.nextRequest()}
	if requests[0].Method == http.MethodGet && c.random.IntN(4) == 0 {
		second := c.nextRequest()
		if second.Method == http.MethodGet {
			requests = append(requests, second)
		}
	}
	start := time.Now()
	_ = c.conn.SetDeadline(start.Add(callerTimeout + time.Second))
	for _, a := range requests {
		if _, err := c.conn.Write(a.Bytes()); err != nil {
			c.record(a, start, platformtest.Reply{}, false)
			c.closeConn()
			return
		}
	}
	if c.random.Float64() < disconnectShare {
		time.Sleep(5 * time.Millisecond)
		for _, a := range requests {
			c.record(a, start, platformtest.Reply{}, true)
		}
		c.closeConn()
		return
	}
	for i, a := range requests {
		reply, err := platformtest.ReadReply(c.br, a.Method)
		if err != nil {
			reply = platformtest.Reply{}
		}
		c.record(a, start, reply, false)
		if err != nil || reply.Close {
			// The entry doesn't read requests that follow a response which closes the connection.
			for _, unread := range requests[i+1:] {
				c.record(unread, start, platformtest.Reply{}, true)
			}
			c.closeConn()
			return
		}
	}
}

func (c *caller) record(a platformtest.Request, sent time.Time, r platformtest.Reply, abandoned bool) {
	c.w.ledger.AddAttempt(ledger.Attempt{
		ID: a.ID, Order: a.Method == http.MethodPost, Entry: c.entry, Sent: sent, Done: time.Now(),
		Status: r.Status, Success: r.Success(), Complete: r.Complete(a), NotRun: r.NotRun(), Abandoned: abandoned,
		Services: services(a.Path),
	})
}

// services returns the services that run the requests of a path.
func services(path string) []string {
	switch {
	case strings.HasPrefix(path, movingPrefix):
		return []string{"s1", "s2"}
	case strings.HasPrefix(path, "/o/"):
		return []string{"s2"}
	case strings.HasPrefix(path, "/u/"):
		return []string{"s3"}
	default:
		return []string{"s1"}
	}
}

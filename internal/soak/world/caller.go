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
	callerWait  = 4 * time.Second        // callerWait is how long a caller waits for an answer.
	lookUpEvery = time.Second            // lookUpEvery is how long a caller keeps a look-up.
	callerPause = 120 * time.Millisecond // callerPause is the mean pause between two requests of a caller.
	leaveShare  = 0.03                   // leaveShare is the part of the requests whose caller leaves early.
	bigBody     = 60_000                 // bigBody is the size of an upload in bytes.
)

// caller sends one request after another and keeps its connection as long as
// the entry does, also when the entry is being stopped.
type caller struct {
	w      *World
	number int
	random *rand.Rand
	client *http.Client

	addresses []string
	looked    time.Time
	entry     string
	conn      net.Conn
	br        *bufio.Reader
	sent      int
}

func (c *caller) run(ctx context.Context) {
	defer c.hangUp()
	for ctx.Err() == nil {
		pause := time.Duration(float64(callerPause) * (0.5 + c.random.Float64()))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		c.lookUp(ctx)
		if c.conn == nil && !c.dial(ctx) {
			continue
		}
		c.request()
	}
}

func (c *caller) lookUp(ctx context.Context) {
	if time.Since(c.looked) < lookUpEvery {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lookUpEvery)
	defer cancel()
	directory := c.w.directory(c.random)
	if directory == "" {
		return
	}
	zone := zoneNames[c.number%len(zoneNames)]
	if found, err := platformtest.LookUp(ctx, c.client, directory, zones[zone], zone); err == nil && len(found) > 0 {
		c.addresses, c.looked = found, time.Now()
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
		c.looked = time.Time{}
		return false
	}
	c.conn, c.br = conn, bufio.NewReader(conn)
	return true
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// next draws the next request.
func (c *caller) next() platformtest.Ask {
	c.sent++
	a := platformtest.Ask{
		Host: "h", ID: fmt.Sprintf("c%d-%d", c.number, c.sent), Wait: callerWait,
		Object: fmt.Sprint(c.random.IntN(30)), Method: http.MethodGet,
	}
	switch n := c.random.IntN(10); {
	case n < 4:
		a.Path = "/r/x?n=" + a.ID
	case n < 6:
		a.Path = movePrefix + a.ID
	case n < 9:
		a.Method, a.Path, a.Body = http.MethodPost, "/o/"+a.ID, "one gift"
	default:
		a.Method, a.Path, a.Body = http.MethodPost, "/u/"+a.ID, strings.Repeat("u", bigBody)
	}
	return a
}

// request sends one request, or two reads at once, and records what comes back.
func (c *caller) request() {
	asks := []platformtest.Ask{c.next()}
	if asks[0].Method == http.MethodGet && c.random.IntN(4) == 0 {
		second := c.next()
		if second.Method == http.MethodGet {
			asks = append(asks, second)
		}
	}
	began := time.Now()
	_ = c.conn.SetDeadline(began.Add(callerWait + time.Second))
	for _, a := range asks {
		if _, err := c.conn.Write(a.Bytes()); err != nil {
			c.record(a, began, platformtest.Reply{}, false)
			c.hangUp()
			return
		}
	}
	if c.random.Float64() < leaveShare {
		time.Sleep(5 * time.Millisecond)
		for _, a := range asks {
			c.record(a, began, platformtest.Reply{}, true)
		}
		c.hangUp()
		return
	}
	for i, a := range asks {
		reply, err := platformtest.ReadReply(c.br, a.Method)
		if err != nil {
			reply = platformtest.Reply{}
		}
		c.record(a, began, reply, false)
		if err != nil || reply.Close {
			// What was sent behind an answer that closes the connection was not read.
			for _, rest := range asks[i+1:] {
				c.record(rest, began, platformtest.Reply{}, true)
			}
			c.hangUp()
			return
		}
	}
}

func (c *caller) record(a platformtest.Ask, sent time.Time, r platformtest.Reply, deserted bool) {
	c.w.ledger.Attempt(ledger.Attempt{
		ID: a.ID, Order: a.Method == http.MethodPost, Entry: c.entry, Sent: sent, Done: time.Now(),
		Status: r.Status, Success: r.Success(), Whole: r.Whole(a), NotRun: r.NotRun(), Deserted: deserted,
		Services: services(a.Path),
	})
}

// services returns the services that run the requests of a path.
func services(path string) []string {
	switch {
	case strings.HasPrefix(path, movePrefix):
		return []string{"s1", "s2"}
	case strings.HasPrefix(path, "/o/"):
		return []string{"s2"}
	case strings.HasPrefix(path, "/u/"):
		return []string{"s3"}
	default:
		return []string{"s1"}
	}
}

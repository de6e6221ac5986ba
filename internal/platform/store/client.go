package store

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// callTimeout limits a call; a healthy service responds within milliseconds.
	callTimeout = 2 * time.Second
	// watchPollWait is how long the service may hold a long poll open before it responds without a change.
	watchPollWait = 4 * time.Second
	// watchTimeout is how long a watch may go without a response: watchPollWait and the delay of a slow network.
	watchTimeout = 5 * time.Second
)

// Client calls the key-value service. It is safe for concurrent use.
type Client struct {
	base    string
	key     string
	http    *http.Client
	timeout time.Duration
	// invalidHeads counts the responses that were rejected because HTTP/1.1 does not allow their head; copies share it.
	invalidHeads *atomic.Int64
}

// New returns a client for the service at the URL base that authenticates with key; a nil client means http.DefaultClient.
func New(base, key string, client *http.Client) *Client {
	if client == nil {
		client = http.DefaultClient
	}
	return &Client{base: strings.TrimSuffix(base, "/"), key: key, http: client, timeout: callTimeout, invalidHeads: new(atomic.Int64)}
}

// InvalidHeadCount returns the number of responses that were rejected because HTTP/1.1 does not allow their head, such as
// one with whitespace in a field name.
func (c *Client) InvalidHeadCount() int64 { return c.invalidHeads.Load() }

// WithTimeout returns a copy of the client whose calls, except for watches, time out after d.
func (c *Client) WithTimeout(d time.Duration) *Client {
	copied := *c
	copied.timeout = d
	return &copied
}

type valueWire struct {
	Key      string `json:"key"`
	Data     []byte `json:"data"`
	Revision uint64 `json:"revision"`
	Lease    uint64 `json:"lease,omitempty"`
}

func (w valueWire) value() Value { return Value{w.Key, w.Data, w.Revision} }

type listWire struct {
	Values []valueWire `json:"values"`
}

type leaseWire struct {
	Lease uint64 `json:"lease,omitempty"`
	TTL   int64  `json:"ttl,omitempty"` // milliseconds
}

// Get returns the value of the key, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	var w valueWire
	err := c.read(ctx, c.timeout, "/get?key="+url.QueryEscape(key), &w)
	return w.value(), err
}

// List returns all values whose key begins with prefix, ordered by key.
func (c *Client) List(ctx context.Context, prefix string) ([]Value, error) {
	var w listWire
	if err := c.read(ctx, c.timeout, "/list?prefix="+url.QueryEscape(prefix), &w); err != nil {
		return nil, err
	}
	values := make([]Value, len(w.Values))
	for i, v := range w.Values {
		values[i] = v.value()
	}
	return values, nil
}

// Put writes data if the key is at the given revision (compare-and-swap) and returns the new revision.
// Revision 0 means that the key must not exist; lease 0 means that the key has no lease and stays until it is deleted.
func (c *Client) Put(ctx context.Context, key string, data []byte, revision, lease uint64) (uint64, error) {
	var w valueWire
	err := c.write(ctx, "/put", valueWire{Key: key, Data: data, Revision: revision, Lease: lease}, &w)
	return w.Revision, err
}

// Delete deletes the key if it is at the given revision.
func (c *Client) Delete(ctx context.Context, key string, revision uint64) error {
	return c.write(ctx, "/delete", valueWire{Key: key, Revision: revision}, nil)
}

// Grant returns a new lease that expires ttl after its last renewal.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var w leaseWire
	err := c.write(ctx, "/grant", leaseWire{TTL: ttl.Milliseconds()}, &w)
	return w.Lease, err
}

// Renew restarts the time to live of the lease, or returns ErrLeaseExpired if the lease has expired.
func (c *Client) Renew(ctx context.Context, lease uint64) error {
	return c.write(ctx, "/renew", leaseWire{Lease: lease}, nil)
}

// Watch blocks until the key's revision is above after and returns its value. It returns ErrWatchTimeout
// if the service sends no response for 5 s; the caller then reads the key and watches again.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Value, error) {
	query := "/watch?key=" + url.QueryEscape(key) + "&after=" + strconv.FormatUint(after, 10) +
		"&wait=" + strconv.FormatInt(watchPollWait.Milliseconds(), 10)
	for {
		var w valueWire
		err := c.read(ctx, watchTimeout, query, &w)
		if err != nil && ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) {
			return Value{}, errors.Join(ErrWatchTimeout, ErrUnavailable)
		}
		if err != nil || w.Revision > after {
			return w.value(), err
		}
	}
}

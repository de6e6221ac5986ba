package roster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"tamarackspool/internal/request/head"
)

// ErrUnavailable means that the VM list could not be read.
var ErrUnavailable = errors.New("roster: VM list unavailable")

const (
	// callTimeout limits a call; callers read the list about once a second.
	callTimeout = 2 * time.Second
	// maxListBytes limits the response: 590 entries and a few thousand targets need less than 1 MB.
	maxListBytes = 16 << 20
)

// VM is the state of one virtual machine as last recorded by the platform.
type VM struct {
	name       string
	leaving    bool
	recordedAt time.Time
}

// NewVM returns a VM. It is meant for fakes of the client in tests.
func NewVM(name string, leaving bool, recordedAt time.Time) VM { return VM{name, leaving, recordedAt} }

// Name returns the VM's name.
func (v VM) Name() string { return v.name }

// Leaving reports whether the platform is about to remove the VM.
func (v VM) Leaving() bool { return v.leaving }

// RecordedAt returns when the platform recorded this state.
func (v VM) RecordedAt() time.Time { return v.recordedAt }

// Client reads the VM list. It is safe for concurrent use.
type Client struct {
	base         string
	http         *http.Client
	invalidHeads atomic.Int64 // invalidHeads counts the responses that were rejected because HTTP/1.1 does not allow their head.
}

// New returns a client for the VM list at the URL base; a nil client means http.DefaultClient.
func New(base string, client *http.Client) *Client {
	if client == nil {
		client = http.DefaultClient
	}
	return &Client{base: strings.TrimSuffix(base, "/"), http: client}
}

// InvalidHeadCount returns the number of responses that were rejected because HTTP/1.1 does not allow their head, such as
// one with whitespace in a field name.
func (c *Client) InvalidHeadCount() int64 { return c.invalidHeads.Load() }

type listWire struct {
	VMs []struct {
		Name    string    `json:"name"`
		Leaving bool      `json:"leaving"`
		Seen    time.Time `json:"seen"`
	} `json:"vms"`
}

// List returns the listed VMs, or an error that matches ErrUnavailable.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/list", nil)
	if err != nil {
		return nil, fmt.Errorf("roster: %w", err)
	}
	resp, err := head.Do(c.http, req)
	if errors.Is(err, head.ErrInvalid) {
		c.invalidHeads.Add(1)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
	var w listWire
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&w); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	vms := make([]VM, len(w.VMs))
	for i, v := range w.VMs {
		vms[i] = VM{v.Name, v.Leaving, v.Seen}
	}
	return vms, nil
}

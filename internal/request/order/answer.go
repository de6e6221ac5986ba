package order

import (
	"maps"
	"slices"
)

// Key is an idempotency key; the same text from two tenants or for two services makes two different keys.
type Key struct {
	tenant  string
	service string
	text    string
}

// NewKey returns the key that a tenant sent with a request to a service.
func NewKey(tenant, service, text string) Key { return Key{tenant, service, text} }

// Tenant returns the tenant that sent the key.
func (k Key) Tenant() string { return k.tenant }

// Service returns the service that the request is for.
func (k Key) Service() string { return k.service }

// Text returns the key as the caller sent it.
func (k Key) Text() string { return k.text }

// Answer is the complete response of a target to a request with an idempotency key.
type Answer struct {
	status int
	header map[string][]string
	body   []byte
}

// NewAnswer returns the response with the given HTTP status, header and body, which must not be changed afterwards.
func NewAnswer(status int, header map[string][]string, body []byte) *Answer {
	return &Answer{status, header, body}
}

// Status returns the HTTP status of the target's response.
func (a *Answer) Status() int { return a.status }

// Header returns a copy of the header fields of the target's response.
func (a *Answer) Header() map[string][]string {
	c := maps.Clone(a.header)
	for k, v := range c {
		c[k] = slices.Clone(v)
	}
	return c
}

// Body returns the body, which must not be changed.
func (a *Answer) Body() []byte { return a.body }

func (a *Answer) size() int {
	n := len(a.body)
	for k, values := range a.header {
		n += len(k)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

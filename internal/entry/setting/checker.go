package setting

import (
	"cmp"
	"crypto/tls"
	"fmt"
	"net/netip"
	"net/url"
)

// checker collects the errors of all flags, so the operator gets them in one run.
type checker struct{ errs []error }

func (c *checker) fail(flag, format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf("setting: --%s: "+format, append([]any{flag}, args...)...))
}

// maxNameBytes is the maximum length of a name; names are part of every gossip message.
const maxNameBytes = 64

func (c *checker) checkName(flag, value string) {
	if value == "" || len(value) > maxNameBytes {
		c.fail(flag, "%q has %d bytes; the range is 1 to %d", value, len(value), maxNameBytes)
	}
}

func (c *checker) checkKey(flag, value string, minBytes int) {
	if len(value) < minBytes {
		c.fail(flag, "the key has %d bytes; at least %d are required", len(value), minBytes)
	}
}

func (c *checker) parseAddress(flag, value string) netip.AddrPort {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		c.fail(flag, "%q is not an IP address with a port from 0 to 65535, such as 127.0.0.1:8080", value)
	}
	return a
}

func (c *checker) checkBaseURL(flag, value string) {
	if value == "" {
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		c.fail(flag, "%q is not of the form http://address:port", value)
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		c.fail(flag, "%q does not contain an IP address and a port", value)
	}
}

func checkRange[T cmp.Ordered](c *checker, flag string, value, low, high T) {
	if value < low || value > high {
		c.fail(flag, "%v is out of range; the range is %v to %v", value, low, high)
	}
}

// loadCertificate loads the certificate chain and its key; both or neither must be set.
func (c *checker) loadCertificate(chain, key string) *tls.Config {
	switch {
	case chain == "" && key == "":
		return nil
	case chain == "":
		c.fail("cert", "missing; --cert-key requires it")
		return nil
	case key == "":
		c.fail("cert-key", "missing; --cert requires it")
		return nil
	}
	pair, err := tls.LoadX509KeyPair(chain, key)
	if err != nil {
		c.fail("cert", "%q with --cert-key %q: %v", chain, key, err)
		return nil
	}
	// HTTP/1.1 carries one request at a time per connection, so a response cannot be matched to another request.
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}}
}

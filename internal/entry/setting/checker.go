package setting

import (
	"cmp"
	"crypto/tls"
	"fmt"
	"net/netip"
	"net/url"
)

// checker collects the errors of all flags, so that an operator sees them at once.
type checker struct{ errs []error }

func (c *checker) fail(flag, format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf("setting: --%s: "+format, append([]any{flag}, args...)...))
}

// longestName is the most bytes of a name; names stand in every gossip message.
const longestName = 64

func (c *checker) text(flag, value string) {
	if value == "" || len(value) > longestName {
		c.fail(flag, "%q has %d characters; the range is 1 to %d", value, len(value), longestName)
	}
}

func (c *checker) secret(flag, value string, need int) {
	if len(value) < need {
		c.fail(flag, "the key has %d characters; at least %d are needed", len(value), need)
	}
}

func (c *checker) address(flag, value string) netip.AddrPort {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		c.fail(flag, "%q is not an IP address with a port from 0 to 65535, such as 127.0.0.1:8080", value)
	}
	return a
}

func (c *checker) base(flag, value string) {
	if value == "" {
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		c.fail(flag, "%q is not of the form http://address:port", value)
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		c.fail(flag, "%q does not name an IP address and a port", value)
	}
}

func within[T cmp.Ordered](c *checker, flag string, value, low, high T) {
	if value < low || value > high {
		c.fail(flag, "%v is out of range; the range is %v to %v", value, low, high)
	}
}

// certificate loads the chain and its key, which are given together or not at all.
func (c *checker) certificate(chain, key string) *tls.Config {
	switch {
	case chain == "" && key == "":
		return nil
	case chain == "":
		c.fail("cert", "it is missing; --cert-key needs it")
		return nil
	case key == "":
		c.fail("cert-key", "it is missing; --cert needs it")
		return nil
	}
	pair, err := tls.LoadX509KeyPair(chain, key)
	if err != nil {
		c.fail("cert", "%q with --cert-key %q: %v", chain, key, err)
		return nil
	}
	// HTTP/1.1 carries one request at a time, so that a response can only belong to its own request.
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}}
}

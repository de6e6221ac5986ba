package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"
)

// lookupTimeout is how long a look-up waits for an entry's response.
const lookupTimeout = 5 * time.Second

type lookupCommand struct {
	Call    netip.AddrPort `help:"Callers' address of an entry." placeholder:"IP:PORT" required:""`
	Client  string         `help:"Address of the client. Default: this machine's."`
	Service string         `arg:"" help:"Name of the service."`
	authority
}

// Run sends the look-up and prints the response.
func (c *lookupCommand) Run(ctx context.Context, s *streams) error {
	q := url.Values{"service": {c.Service}}
	if c.Client != "" {
		client, err := netip.ParseAddr(c.Client)
		if err != nil {
			return exitErrorf(exitUsage, "--client: %q is not an IP address", c.Client)
		}
		q.Set("client", client.String())
	}
	client, scheme, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	target := url.URL{Scheme: scheme, Host: c.Call.String(), Path: "/lookup", RawQuery: q.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return exitErrorf(exitUnavailable, "%v", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return exitErrorf(exitUnavailable, "the response ended early: %v", err)
	}
	return printResponse(s, resp.StatusCode, data)
}

// printResponse prints the response; for a status other than 200 it returns an error with an exit status.
func printResponse(s *streams, status int, data []byte) error {
	switch {
	case status == http.StatusOK:
		var pretty bytes.Buffer
		if err := json.Indent(&pretty, bytes.TrimSpace(data), "", "  "); err != nil {
			return err
		}
		_, err := fmt.Fprintln(s.stdout, pretty.String())
		return err
	case status >= http.StatusInternalServerError:
		return exitErrorf(exitUnavailable, "%d: %s", status, bytes.TrimSpace(data))
	default:
		return exitErrorf(exitUsage, "%d: %s", status, bytes.TrimSpace(data))
	}
}

package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"tamarackspool/internal/standin/caller"
)

// newClient returns an HTTP client of a caller in the entry's region. It closes
// its connections after each response, so that none outlives the script.
func (s *scriptState) newClient(entry string) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: s.live.Dial(s.live.RegionOf(entry)), DisableKeepAlives: true}}
}

// ticket fetches an order ticket from an entry and stores it under a name.
func (s *scriptState) ticket(_ io.Writer, args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	url := fmt.Sprintf("http://%s.entry:80/ticket?service=%s&count=1", args[1], s.live.ServiceFor(caller.Order))
	req, err := http.NewRequestWithContext(s.live.Context(), http.MethodPost, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Tenant", s.live.Tenant())
	resp, err := s.newClient(args[1]).Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var body struct {
		Tickets []string `json:"tickets"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return err
	}
	if len(body.Tickets) != 1 {
		return fmt.Errorf("scenario: status %d without a ticket", resp.StatusCode)
	}
	s.tickets[args[0]] = body.Tickets[0]
	return nil
}

// responseTimeout bounds the wait for a response. It is above every request deadline.
const responseTimeout = 10 * time.Second

// order sends one attempt of an order through an entry, with a stored ticket or
// with an idempotency key chosen by the script, and prints its verdict, reason,
// status and error.
func (s *scriptState) order(out io.Writer, args []string) error {
	if len(args) != 4 {
		return errUsage
	}
	name, entry, key := args[0], args[1], args[3]
	if args[2] == "ticket" {
		key = s.tickets[args[3]]
	}
	if key == "" || (args[2] != "ticket" && args[2] != "key") {
		return errUsage
	}
	service := s.live.ServiceFor(caller.Order)
	r, ok := s.orders[name]
	if !ok {
		r = &caller.Record{ID: name, Caller: "script", Tenant: s.live.Tenant(), Service: service, Kind: caller.Order}
		s.orders[name] = r
	}
	t := s.sendOrder(service, entry, caller.Attempt{ID: name, Key: key, Entry: entry})
	if t.Reason == "unreached" && len(r.Attempts) > 0 {
		t.Verdict = "may-have-run" // This attempt was not sent, but an earlier one was.
	}
	r.Attempts = append(r.Attempts, t)
	s.live.RecordRequest(*r, s.live.RegionOf(entry))
	_, err := fmt.Fprintf(out, "%s %s %d %s\n", t.Verdict, t.Reason, t.Status, t.Detail)
	return err
}

func (s *scriptState) sendOrder(service, entry string, t caller.Attempt) caller.Attempt {
	ctx, cancel := context.WithTimeout(s.live.Context(), responseTimeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	t.Start = time.Now()
	defer func() { t.End = time.Now() }()
	url := fmt.Sprintf("http://%s.entry:80/run/%s/order/%s?size=64", entry, service, t.ID)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("order"))
	if err == nil {
		req.Header = http.Header{"Tenant": {s.live.Tenant()}, "Idempotency-Key": {t.Key}}
		var resp *http.Response
		if resp, err = s.newClient(entry).Do(req); err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			err = errors.Join(err, resp.Body.Close())
			t.Verdict, t.Reason, t.Status = resp.Header.Get("Verdict"), resp.Header.Get("Reason"), resp.StatusCode
			t.Target = resp.Header.Get("Served-By")
		}
	}
	if err != nil {
		t.Verdict, t.Reason, t.Detail = "may-have-run", "lost", err.Error()
		if !connected.Load() {
			t.Verdict, t.Reason = "not-run", "unreached"
		}
	}
	t.End = time.Now()
	return t
}

// lookup prints an entry's response to a look-up for a kind of request by a client in a region.
func (s *scriptState) lookup(out io.Writer, args []string) error {
	if len(args) != 3 {
		return errUsage
	}
	service := s.live.ServiceFor(caller.Kind(args[2]))
	url := fmt.Sprintf("http://%s.entry:80/lookup?service=%s", args[0], service)
	req, err := http.NewRequestWithContext(s.live.Context(), http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	transport := &http.Transport{DialContext: s.live.Dial(args[1]), DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(out, resp.Body)
	return err
}

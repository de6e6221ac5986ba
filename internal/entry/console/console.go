package console

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
)

// Console runs the operators' commands. Each exported method prints its result and returns a *Failure, or an error of the output.
type Console struct {
	Client *Client
	Out    io.Writer
	JSON   bool                                             // JSON prints the API's responses unchanged.
	Wait   func(ctx context.Context, d time.Duration) error // Wait pauses between polls; nil means a timer.
}

// Change describes the author of a change, its reason, and the version that it is based on.
type Change struct {
	Base uint64 // Base is the version that the change is based on; 0 means the version in force.
	ID   string // ID identifies the patch; if empty, a new ID is generated.
	Who  string
	Why  string
}

// Config prints the configuration in force.
func (c *Console) Config(ctx context.Context) error {
	data, err := c.get(ctx, "/config")
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, data, "", "  "); err != nil {
		return failf(CodeInternal, "%v", err)
	}
	_, err = fmt.Fprintln(c.Out, out.String())
	return err
}

// Patch submits an RFC 6902 patch and new parts of client blocks, and prints the outcome.
func (c *Console) Patch(ctx context.Context, ch Change, patch []byte, blocks [][]byte) error {
	if !json.Valid(patch) {
		return failf(CodeInput, "patch: not valid JSON; an RFC 6902 JSON patch is required")
	}
	if err := c.fillDefaults(ctx, &ch); err != nil {
		return err
	}
	body := map[string]any{
		"base": ch.Base, "id": ch.ID, "who": ch.Who, "why": ch.Why,
		"patch": json.RawMessage(patch), "blocks": blocks,
	}
	_, err := c.submit(ctx, "/patch", ch.ID, body)
	return err
}

// fillDefaults sets the base and the ID if they are missing.
func (c *Console) fillDefaults(ctx context.Context, ch *Change) error {
	if ch.Who == "" {
		return failf(CodeInput, "who: the author of the change is required")
	}
	if ch.ID == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return failf(CodeInternal, "%v", err)
		}
		ch.ID = id.String()
	}
	if ch.Base != 0 {
		return nil
	}
	data, err := c.get(ctx, "/config")
	if err != nil {
		return err
	}
	var head struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return failf(CodeInternal, "%v", err)
	}
	ch.Base = head.Version
	return nil
}

// outcome is the body of the response to a patch or a drain.
type outcome struct {
	Outcome string        `json:"outcome"`
	Version uint64        `json:"version"`
	Reason  string        `json:"reason"`
	Changes []auditRecord `json:"changes"`
}

// submit submits a change, prints its outcome and returns the version that it created.
func (c *Console) submit(ctx context.Context, path, id string, body any) (uint64, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, failf(CodeInput, "%v", err)
	}
	if !c.JSON {
		// The id is printed first, so the operator has it even if the outcome stays unknown.
		fmt.Fprintf(c.Out, "id %s\n", id)
	}
	r, err := c.Client.callAny(ctx, http.MethodPost, path, data)
	if err != nil {
		return 0, err
	}
	var o outcome
	if err := json.Unmarshal(r.data, &o); err == nil && o.Outcome != "" {
		if err := c.print(r.data, func(w io.Writer) { o.print(w) }); err != nil {
			return 0, err
		}
	}
	return o.Version, r.failure()
}

func (o outcome) print(w io.Writer) {
	fmt.Fprintf(w, "%s\tversion %d\t%s\n", o.Outcome, o.Version, o.Reason)
	for _, a := range o.Changes {
		a.printRow(w)
	}
}

type auditRecord struct {
	Version uint64          `json:"version"`
	ID      string          `json:"id"`
	Who     string          `json:"who"`
	Why     string          `json:"why"`
	At      time.Time       `json:"at"`
	Patch   json.RawMessage `json:"patch"`
}

func (a auditRecord) printRow(w io.Writer) {
	fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", a.Version, a.At.Format(time.RFC3339), a.Who, a.ID, a.Why, a.Patch)
}

// Audit prints the accepted patches from the given version on and the most recent refused ones.
func (c *Console) Audit(ctx context.Context, from uint64) error {
	data, err := c.get(ctx, "/audit?"+url.Values{"from": {strconv.FormatUint(from, 10)}}.Encode())
	if err != nil {
		return err
	}
	var auditTrail struct {
		Audit   []auditRecord `json:"audit"`
		Refused []struct {
			ID     string    `json:"id"`
			Base   uint64    `json:"base"`
			Who    string    `json:"who"`
			Reason string    `json:"reason"`
			At     time.Time `json:"at"`
		} `json:"refused"`
	}
	if err := json.Unmarshal(data, &auditTrail); err != nil {
		return failf(CodeInternal, "%v", err)
	}
	return c.print(data, func(w io.Writer) {
		fmt.Fprintln(w, "VERSION\tAT\tWHO\tID\tWHY\tPATCH")
		for _, a := range auditTrail.Audit {
			a.printRow(w)
		}
		for _, r := range auditTrail.Refused {
			fmt.Fprintf(w, "refused on %d\t%s\t%s\t%s\t%s\t\n", r.Base, r.At.Format(time.RFC3339), r.Who, r.ID, r.Reason)
		}
	})
}

// get requests a path and returns the body of a successful response.
func (c *Console) get(ctx context.Context, path string) ([]byte, error) {
	r, err := c.Client.callAny(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	return r.data, r.failure()
}

// print writes the data unchanged if JSON is set, and the table otherwise.
func (c *Console) print(data []byte, table func(w io.Writer)) error {
	if c.JSON {
		_, err := fmt.Fprintln(c.Out, string(bytes.TrimSpace(data)))
		return err
	}
	w := tabwriter.NewWriter(c.Out, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

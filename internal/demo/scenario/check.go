package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"tamarackspool/internal/demo/promise"
)

// check checks the promises, the audit trail, or that all entries have the same configuration.
func (s *scriptState) check(_ io.Writer, args []string) error {
	if len(args) == 0 {
		return errUsage
	}
	switch {
	case args[0] == "promises":
		return s.checkPromises(args[1:])
	case args[0] == "agree" && len(args) == 1:
		return s.checkAgree()
	case args[0] == "audit" && len(args) == 3:
		last, err := strconv.ParseUint(args[2], 10, 64)
		if err != nil {
			return errUsage
		}
		return s.checkAudit(args[1], last)
	}
	return errUsage
}

// checkPromises stops all loads and returns an error if a promise whose name
// begins with one of the prefixes is broken. Without prefixes it checks all
// promises except P1, whose check needs callers that use only the entries of
// their home region.
func (s *scriptState) checkPromises(prefixes []string) error {
	s.live.StopLoads()
	var broken []string
	for _, b := range s.live.CheckPromises(slices.Contains(prefixes, "P1")) {
		if len(prefixes) == 0 || slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(b.Promise, p) }) {
			broken = append(broken, formatBreach(b))
		}
	}
	if len(broken) > 0 {
		return fmt.Errorf("scenario: broken: %s", strings.Join(broken, "; "))
	}
	return nil
}

func formatBreach(b promise.Breach) string {
	return fmt.Sprintf("%s, %d times: %s", b.Promise, b.Count, b.Example)
}

// checkAgree requires that all running entries have the same configuration version and content.
func (s *scriptState) checkAgree() error {
	entriesByConfig := make(map[string][]string)
	for _, e := range s.live.Entries() {
		base, err := s.adminURL(e)
		if err != nil {
			return err
		}
		resp, err := s.fetchAdmin(base + "/config")
		if err != nil {
			return err
		}
		entriesByConfig[resp] = append(entriesByConfig[resp], e)
	}
	if len(entriesByConfig) != 1 {
		return fmt.Errorf("scenario: entries hold %d different configurations", len(entriesByConfig))
	}
	return nil
}

// fetchAdmin reads a resource of the operators' API.
func (s *scriptState) fetchAdmin(url string) (string, error) {
	req, err := http.NewRequestWithContext(s.live.Context(), http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+s.live.Token())
	resp, err := s.live.Client().Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("scenario: %s answered %d: %s", url, resp.StatusCode, data)
	}
	return string(data), err
}

// AuditRecord is a record of the audit trail.
type AuditRecord struct {
	Version uint64 `json:"version"`
	ID      string `json:"id"`
}

// checkAudit requires one record for each version from 2 to the last.
func (s *scriptState) checkAudit(entry string, last uint64) error {
	base, err := s.adminURL(entry)
	if err != nil {
		return err
	}
	text, err := s.fetchAdmin(base + "/audit")
	if err != nil {
		return err
	}
	var trail struct {
		Audit []AuditRecord `json:"audit"`
	}
	if err := json.Unmarshal([]byte(text), &trail); err != nil {
		return err
	}
	return CheckTrail(trail.Audit, last)
}

// CheckTrail returns an error unless the records contain each version from 2 to last
// exactly once and no change ID twice. Version 1 is the first configuration, which
// no change made.
func CheckTrail(records []AuditRecord, last uint64) error {
	versions, ids := make(map[uint64]int), make(map[string]int)
	for _, r := range records {
		versions[r.Version]++
		ids[r.ID]++
		if ids[r.ID] > 1 {
			return fmt.Errorf("scenario: the audit trail contains change %q twice", r.ID)
		}
		if r.Version > last {
			return fmt.Errorf("scenario: version %d in the audit trail, the last is %d", r.Version, last)
		}
	}
	for v := uint64(2); v <= last; v++ {
		if versions[v] != 1 {
			return fmt.Errorf("scenario: %d records of version %d", versions[v], v)
		}
	}
	return nil
}

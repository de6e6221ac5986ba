package console

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// status is the part of an entry's status that the commands read.
type status struct {
	Entry    string  `json:"entry"`
	Region   string  `json:"region"`
	Version  uint64  `json:"version"`
	Floor    uint64  `json:"floor"`
	Isolated bool    `json:"isolated"`
	Store    bool    `json:"store"`
	Roster   float64 `json:"roster"`
	Targets  []struct {
		Name    string `json:"name"`
		Service string `json:"service"`
		Owner   string `json:"owner"`
		Busy    int    `json:"busy"`
		Limit   int    `json:"limit"`
		Slots   int    `json:"slots"`
		Leaving bool   `json:"leaving"`
	} `json:"targets"`
	Regions []struct {
		Name  string `json:"name"`
		Busy  int    `json:"busy"`
		Limit int    `json:"limit"`
		Free  int    `json:"free"`
	} `json:"regions"`
	Links []struct {
		From  string `json:"from"`
		To    string `json:"to"`
		Used  int64  `json:"used"`
		Share int64  `json:"share"`
	} `json:"links"`
	Drains  []drainStatus `json:"drains"`
	Members []struct {
		Name    string `json:"name"`
		Zone    string `json:"zone"`
		State   string `json:"state"`
		Version uint64 `json:"version"`
	} `json:"members"`
}

type drainStatus struct {
	Name    string   `json:"name"`
	Targets []string `json:"targets"`
	Busy    int      `json:"busy"`
	Active  bool     `json:"active"`
	Quiet   bool     `json:"quiet"`
	Delayed string   `json:"delayed"`
}

// Status prints the status of the first entry that answers.
func (c *Console) Status(ctx context.Context) error {
	data, err := c.get(ctx, "/status")
	if err != nil {
		return err
	}
	var s status
	if err := json.Unmarshal(data, &s); err != nil {
		return failf(CodeInternal, "%v", err)
	}
	return c.print(data, func(w io.Writer) {
		fmt.Fprintf(w, "ENTRY\tREGION\tVERSION\tFLOOR\tISOLATED\tSTORE\tVM LIST AGE\n")
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%v\t%v\t%.1f s\n\n", s.Entry, s.Region, s.Version, s.Floor, s.Isolated, s.Store, s.Roster)
		s.use(w)
		fmt.Fprintf(w, "\nDRAIN\tACTIVE\tBUSY\tQUIET\tDELAYED\n")
		for _, d := range s.Drains {
			fmt.Fprintf(w, "%s\t%v\t%d\t%v\t%s\n", d.Name, d.Active, d.Busy, d.Quiet, d.Delayed)
		}
		fmt.Fprintf(w, "\nMEMBER\tZONE\tSTATE\tVERSION\n")
		for _, m := range s.Members {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", m.Name, m.Zone, m.State, m.Version)
		}
	})
}

// use writes the tables of targets, regions and links.
func (s status) use(w io.Writer) {
	fmt.Fprintf(w, "TARGET\tSERVICE\tOWNER\tBUSY\tLIMIT\tSLOTS\tLEAVING\n")
	for _, t := range s.Targets {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%v\n", t.Name, t.Service, t.Owner, t.Busy, t.Limit, t.Slots, t.Leaving)
	}
	fmt.Fprintf(w, "\nREGION\tBUSY\tLIMIT\tFREE\n")
	for _, r := range s.Regions {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", r.Name, r.Busy, r.Limit, r.Free)
	}
	fmt.Fprintf(w, "\nLINK\tUSED\tSHARE\n")
	for _, l := range s.Links {
		fmt.Fprintf(w, "%s-%s\t%d\t%d\n", l.From, l.To, l.Used, l.Share)
	}
}

// all asks every entry for its status and returns those that answered and the number that did not.
func (c *Console) all(ctx context.Context) (list []status, missing int) {
	for _, base := range c.Client.bases {
		var s status
		r, err := c.Client.call(ctx, base, http.MethodGet, "/status", nil)
		if err != nil || r.code != http.StatusOK || json.Unmarshal(r.data, &s) != nil {
			missing++
			continue
		}
		list = append(list, s)
	}
	return list, missing
}

package console

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strings"
)

// status is the subset of the fleet status that the commands read.
type status struct {
	Entry    string  `json:"entry"`
	Region   string  `json:"region"`
	Version  uint64  `json:"version"`
	Floor    uint64  `json:"floor"`
	Isolated bool    `json:"isolated"`
	Store    bool    `json:"store"`
	Roster   float64 `json:"roster"` // age of the VM list in seconds; negative means that it was never read
	Targets  []struct {
		Name    string  `json:"name"`
		Service string  `json:"service"`
		Owner   string  `json:"owner"`
		Busy    int     `json:"busy"`
		Limit   int     `json:"limit"`
		Slots   int     `json:"slots"`
		Load    float64 `json:"load"`
		Leaving bool    `json:"leaving"`
		Quiet   bool    `json:"quiet"`
		Claims  []struct {
			Entry string `json:"entry"`
		} `json:"claims"`
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
		Used  int64  `json:"used"`  // bytes/s
		Share int64  `json:"share"` // bytes/s
		Limit int64  `json:"limit"` // bytes/s
	} `json:"links"`
	Drains  []drainStatus `json:"drains"`
	Entries []struct {
		Name     string  `json:"name"`
		Zone     string  `json:"zone"`
		State    string  `json:"state"`
		Version  uint64  `json:"version"`
		Age      float64 `json:"age"` // uptime in seconds
		Isolated bool    `json:"isolated"`
		Answered bool    `json:"answered"`
		Problem  string  `json:"problem"`
	} `json:"entries"`
	Missing []string `json:"missing"`
}

type drainStatus struct {
	Name    string   `json:"name"`
	Targets []string `json:"targets"`
	Busy    int      `json:"busy"`
	Active  bool     `json:"active"`
	Quiet   bool     `json:"quiet"`
	Delayed string   `json:"delayed"`
	Closed  int      `json:"closed"`
	Silent  []string `json:"silent"`
}

// Status prints the status of the fleet, collected by the first entry that responds; without regions all are shown.
func (c *Console) Status(ctx context.Context, regions ...string) error {
	path := "/status"
	if len(regions) > 0 {
		path += "?" + url.Values{"region": regions}.Encode()
	}
	data, err := c.get(ctx, path)
	if err != nil {
		return err
	}
	var s status
	if err := json.Unmarshal(data, &s); err != nil {
		return failf(CodeInternal, "%v", err)
	}
	return c.print(data, func(w io.Writer) {
		fmt.Fprintf(w, "ASKED\tREGION\tVERSION\tFLOOR\tISOLATED\tSTORE\tVM LIST AGE\n")
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%v\t%v\t%.1f s\n\n", s.Entry, s.Region, s.Version, s.Floor, s.Isolated, s.Store, s.Roster)
		s.printUse(w)
		fmt.Fprintf(w, "\nDRAIN\tACTIVE\tBUSY\tCLOSED\tQUIET\tDELAYED\tNO ANSWER FOR\n")
		for _, d := range s.Drains {
			fmt.Fprintf(w, "%s\t%v\t%d\t%d of %d\t%v\t%s\t%s\n",
				d.Name, d.Active, d.Busy, d.Closed, len(d.Targets), d.Quiet, d.Delayed, strings.Join(d.Silent, " "))
		}
		fmt.Fprintf(w, "\nENTRY\tZONE\tSTATE\tVERSION\tAGE\tISOLATED\tANSWERED\n")
		for _, e := range s.Entries {
			answered := "yes"
			if !e.Answered {
				answered = "no: " + e.Problem
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.0f s\t%v\t%s\n", e.Name, e.Zone, e.State, e.Version, e.Age, e.Isolated, answered)
		}
	})
}

// printUse writes the tables of targets, regions and links.
func (s status) printUse(w io.Writer) {
	fmt.Fprintf(w, "TARGET\tSERVICE\tOWNER\tBUSY\tLIMIT\tSLOTS\tLOAD\tLEAVING\tQUIET\n")
	for _, t := range s.Targets {
		owner := t.Owner
		if owner == "" {
			owner = "(no answer)"
		}
		for _, claim := range t.Claims {
			if claim.Entry != t.Owner {
				owner += " " + claim.Entry
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%.1f\t%v\t%v\n", t.Name, t.Service, owner, t.Busy, t.Limit, t.Slots, t.Load, t.Leaving, t.Quiet)
	}
	fmt.Fprintf(w, "\nREGION\tBUSY\tLIMIT\tFREE\n")
	for _, r := range s.Regions {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", r.Name, r.Busy, r.Limit, r.Free)
	}
	fmt.Fprintf(w, "\nLINK\tUSED\tSHARE\tLIMIT\n")
	for _, l := range s.Links {
		fmt.Fprintf(w, "%s-%s\t%d\t%d\t%d\n", l.From, l.To, l.Used, l.Share, l.Limit)
	}
}

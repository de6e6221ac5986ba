package gossip

import (
	"encoding/hex"
	"fmt"
	"net/netip"

	"tamarackspool/internal/fleet/member"
)

// The JSON forms of the messages.
type (
	helloForm struct {
		Nonce  []byte     `json:"nonce"`
		Proof  []byte     `json:"proof,omitempty"`
		Member memberForm `json:"member"`
	}
	memberForm struct {
		Name       string   `json:"name"`
		Run        string   `json:"run"`
		Epoch      uint32   `json:"epoch,omitempty"`
		Sequence   uint64   `json:"sequence"`
		Zone       string   `json:"zone"`
		Region     string   `json:"region"`
		Call       string   `json:"call,omitempty"`
		Peer       string   `json:"peer,omitempty"`
		Pass       string   `json:"pass,omitempty"`
		Leaving    bool     `json:"leaving,omitempty"`
		Version    uint64   `json:"version,omitempty"`
		Successors []string `json:"successors,omitempty"`
	}
	loanForm struct {
		Link string `json:"link"`
		Rate int64  `json:"rate"`
		Left int64  `json:"left"` // milliseconds; entries share no clock
	}
	// A row of Beats is digest, sequence, version behind that of the message, then free slots by service.
	exchangeForm struct {
		Version  uint64       `json:"version"`
		Hash     string       `json:"hash,omitempty"`
		Services []string     `json:"services,omitempty"`
		Beats    [][]int64    `json:"beats,omitempty"`
		Members  []memberForm `json:"members,omitempty"`
		Want     []uint32     `json:"want,omitempty"`
		Doubt    []uint32     `json:"doubt,omitempty"`
		Needs    []string     `json:"needs,omitempty"` // links on which the sender is short
		Loans    []loanForm   `json:"loans,omitempty"` // only in answers
		Fresh    bool         `json:"fresh,omitempty"`
		Floor    uint64       `json:"floor,omitempty"`
		Sure     bool         `json:"sure,omitempty"`
	}
	versionForm struct {
		Version uint64 `json:"version"`
		Packed  bool   `json:"packed,omitempty"` // the caller reads gzip
	}
	configForm struct {
		Version uint64 `json:"version"`
		Hash    string `json:"hash"`
		Data    []byte `json:"data"`
		Packed  bool   `json:"packed,omitempty"` // the data is in gzip; the hash is that of the plain form
	}
	ticketsForm struct {
		Data []byte `json:"data"`
	}
	statusForm struct {
		Data []byte `json:"data,omitempty"`
	}
)

func formOf(m member.Member) memberForm {
	run := m.Incarnation()
	return memberForm{
		Name: m.Name(), Run: hex.EncodeToString(run[:]), Epoch: m.Epoch(), Sequence: m.Sequence(),
		Zone: m.Zone(), Region: m.Region(),
		Call: addressText(m.Call()), Peer: addressText(m.Peer()), Pass: addressText(m.Pass()),
		Leaving: m.State() == member.Leaving, Version: m.Version(), Successors: m.Successors(),
	}
}

func addressText(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

func (f memberForm) member() (member.Member, error) {
	out := member.Fields{
		Name: f.Name, Epoch: f.Epoch, Sequence: f.Sequence, Zone: f.Zone, Region: f.Region,
		Version: f.Version, Successors: f.Successors,
	}
	if f.Leaving {
		out.State = member.Leaving
	}
	run, err := hex.DecodeString(f.Run)
	if err != nil || len(run) != len(out.Incarnation) || f.Name == "" {
		return member.Member{}, fmt.Errorf("gossip: record of %q has no valid name and incarnation", f.Name)
	}
	copy(out.Incarnation[:], run)
	for _, a := range []struct {
		text string
		to   *netip.AddrPort
	}{{f.Call, &out.Call}, {f.Peer, &out.Peer}, {f.Pass, &out.Pass}} {
		if a.text == "" {
			continue
		}
		if *a.to, err = netip.ParseAddrPort(a.text); err != nil {
			return member.Member{}, fmt.Errorf("gossip: record of %q: %w", f.Name, err)
		}
	}
	return member.New(out), nil
}

func membersOf(forms []memberForm, most int) []member.Member {
	var out []member.Member
	for _, f := range forms[:min(len(forms), most)] {
		if m, err := f.member(); err == nil {
			out = append(out, m)
		}
	}
	return out
}

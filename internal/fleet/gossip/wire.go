package gossip

import (
	"encoding/hex"
	"fmt"
	"net/netip"

	"tamarackspool/internal/fleet/member"
)

// The JSON messages between entries.
type (
	helloMessage struct {
		Nonce  []byte        `json:"nonce"`
		Proof  []byte        `json:"proof,omitempty"`
		Member memberMessage `json:"member"`
	}
	memberMessage struct {
		Name        string   `json:"name"`
		Incarnation string   `json:"run"`
		Epoch       uint32   `json:"epoch,omitempty"`
		Sequence    uint64   `json:"sequence"`
		Zone        string   `json:"zone"`
		Region      string   `json:"region"`
		CallAddr    string   `json:"call,omitempty"`
		PeerAddr    string   `json:"peer,omitempty"`
		RelayAddr   string   `json:"pass,omitempty"`
		Leaving     bool     `json:"leaving,omitempty"`
		Version     uint64   `json:"version,omitempty"`
		Successors  []string `json:"successors,omitempty"`
	}
	loanMessage struct {
		Link        string `json:"link"`
		Rate        int64  `json:"rate"`
		RemainingMS int64  `json:"left"` // a duration, because entries share no clock
	}
	// A row of Heartbeats is the digest, the sequence, how far the member's configuration version is behind that of the
	// message, and the free slots in the order of Services (-1 if unknown).
	exchangeMessage struct {
		Version        uint64          `json:"version"`
		Hash           string          `json:"hash,omitempty"`
		Services       []string        `json:"services,omitempty"`
		Heartbeats     [][]int64       `json:"beats,omitempty"`
		Members        []memberMessage `json:"members,omitempty"`
		WantRecords    []uint32        `json:"want,omitempty"`  // digests without a known record
		WantHeartbeats []uint32        `json:"doubt,omitempty"` // digests of members without recent updates
		Needs          []string        `json:"needs,omitempty"` // links for which the sender requests loans
		Loans          []loanMessage   `json:"loans,omitempty"` // only in answers
		Fresh          bool            `json:"fresh,omitempty"` // the sender has just started
		Floor          uint64          `json:"floor,omitempty"` // highest configuration version seen from any incarnation of the receiver's name
		Confirmed      bool            `json:"sure,omitempty"`  // the receiver's incarnation is the current one of its name
	}
	versionMessage struct {
		Version    uint64 `json:"version"`
		Compressed bool   `json:"packed,omitempty"` // the requester accepts gzip
	}
	configMessage struct {
		Version    uint64 `json:"version"`
		Hash       string `json:"hash"`
		Data       []byte `json:"data"`
		Compressed bool   `json:"packed,omitempty"` // the data is gzip; the hash is that of the uncompressed data
	}
	ticketsMessage struct {
		Data []byte `json:"data"`
	}
	statusMessage struct {
		Data []byte `json:"data,omitempty"`
	}
)

func encodeMember(m member.Member) memberMessage {
	incarnation := m.Incarnation()
	return memberMessage{
		Name: m.Name(), Incarnation: hex.EncodeToString(incarnation[:]), Epoch: m.Epoch(), Sequence: m.Sequence(),
		Zone: m.Zone(), Region: m.Region(),
		CallAddr: formatAddress(m.CallAddr()), PeerAddr: formatAddress(m.PeerAddr()), RelayAddr: formatAddress(m.RelayAddr()),
		Leaving: m.State() == member.Leaving, Version: m.Version(), Successors: m.Successors(),
	}
}

func formatAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

func (f memberMessage) decode() (member.Member, error) {
	out := member.Fields{
		Name: f.Name, Epoch: f.Epoch, Sequence: f.Sequence, Zone: f.Zone, Region: f.Region,
		Version: f.Version, Successors: f.Successors,
	}
	if f.Leaving {
		out.State = member.Leaving
	}
	incarnation, err := hex.DecodeString(f.Incarnation)
	if err != nil || len(incarnation) != len(out.Incarnation) || f.Name == "" {
		return member.Member{}, fmt.Errorf("gossip: record of %q has no valid name and incarnation", f.Name)
	}
	copy(out.Incarnation[:], incarnation)
	for _, a := range []struct {
		text string
		to   *netip.AddrPort
	}{{f.CallAddr, &out.CallAddr}, {f.PeerAddr, &out.PeerAddr}, {f.RelayAddr, &out.RelayAddr}} {
		if a.text == "" {
			continue
		}
		if *a.to, err = netip.ParseAddrPort(a.text); err != nil {
			return member.Member{}, fmt.Errorf("gossip: record of %q: %w", f.Name, err)
		}
	}
	return member.New(out), nil
}

func decodeMembers(messages []memberMessage, limit int) []member.Member {
	var out []member.Member
	for _, f := range messages[:min(len(messages), limit)] {
		if m, err := f.decode(); err == nil {
			out = append(out, m)
		}
	}
	return out
}

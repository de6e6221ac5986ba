package ticket_test

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"tamarackspool/internal/request/ticket"
)

// Guards against a ticket that changes when it is encoded and parsed.
func TestRoundTrip(t *testing.T) {
	key := ticket.NewKey([]byte("peer"))
	rapid.Check(t, func(t *rapid.T) {
		var issuer ticket.Incarnation
		copy(issuer[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "issuer"))
		want := ticket.New(issuer, rapid.Uint64().Draw(t, "serial"), rapid.String().Draw(t, "tenant"), rapid.String().Draw(t, "service"))
		got, err := key.Parse(key.Encode(want), want.Tenant(), want.Service())
		if err != nil || got != want {
			t.Fatalf("Parse(Encode(%v)) = %v, %v", want, got, err)
		}
	})
}

// Guards against the acceptance of a ticket for another tenant or service, with a
// changed serial or encoding, or signed with another key.
func TestForgedTicketsAreRefused(t *testing.T) {
	key := ticket.NewKey([]byte("peer"))
	text := key.Encode(ticket.New(ticket.Incarnation{1}, 71, "wroclaw", "orders"))
	foreign := ticket.NewKey([]byte("other")).Encode(ticket.New(ticket.Incarnation{1}, 71, "wroclaw", "orders"))
	for _, c := range []struct{ name, text, tenant, service string }{
		{"other tenant", text, "gdansk", "orders"},
		{"other service", text, "wroclaw", "search"},
		{"moved boundary between tenant and service", text, "wroclawo", "rders"},
		{"changed serial", strings.Replace(text, ".1z.", ".20.", 1), "wroclaw", "orders"},
		{"leading zero", strings.Replace(text, ".1z.", ".01z.", 1), "wroclaw", "orders"},
		{"upper case", ticket.Prefix + strings.ToUpper(text[len(ticket.Prefix):]), "wroclaw", "orders"},
		{"other peer key", foreign, "wroclaw", "orders"},
		{"truncated", text[:len(text)-2], "wroclaw", "orders"},
		{"no parts", ticket.Prefix, "wroclaw", "orders"},
		{"no prefix", "order-1", "wroclaw", "orders"},
	} {
		if _, err := key.Parse(c.text, c.tenant, c.service); !errors.Is(err, ticket.ErrForged) {
			t.Errorf("%s: Parse(%q) error = %v, want ErrForged", c.name, c.text, err)
		}
	}
	if _, err := key.Parse(text, "wroclaw", "orders"); err != nil {
		t.Errorf("Parse of the ticket itself: %v", err)
	}
}

package setting_test

import (
	"strings"
	"testing"
	"time"

	"tamarackspool/internal/entry/setting"
)

func valid() setting.Raw {
	const anyPort = "127.0.0.1:0"
	return setting.Raw{
		Name: "marmara-a-1", Zone: "marmara-a", Region: "marmara",
		Call: anyPort, Peer: anyPort, Pass: anyPort, Admin: anyPort, Store: "http://127.0.0.1:9000",
		PeerKey: "peer-secret", OperatorKey: "operator-secret-token",
		StopLimit: 10 * time.Minute, LookupTTL: 10 * time.Second, Retention: 24 * time.Hour, MaxOrderKeys: 200_000, HeaderLimit: 32 << 10,
	}
}

// Guards against an invalid setting that is accepted, or an error that does not contain the flag or the range.
func TestErrorsNameFlagAndRange(t *testing.T) {
	if _, err := setting.New(valid()); err != nil {
		t.Fatalf("valid settings: %v", err)
	}
	for _, c := range []struct {
		change func(*setting.Raw)
		want   string
	}{
		{func(r *setting.Raw) { r.Call = "localhost:80" }, "--call"},
		{func(r *setting.Raw) { r.Peers = []string{"10.0.0.1"} }, "--peers"},
		{func(r *setting.Raw) { r.Store = "ftp://x" }, "--store"},
		{func(r *setting.Raw) { r.StopLimit = 0 }, "1s to 24h0m0s"},
		{func(r *setting.Raw) { r.LookupTTL = time.Hour }, "1s to 1m0s"},
		{func(r *setting.Raw) { r.MaxOrderKeys = 3 }, "1000 to 10000000"},
		{func(r *setting.Raw) { r.PeerKey = "short" }, "--peer-key"},
		{func(r *setting.Raw) { r.OperatorKey = "fifteen-letters" }, "--operator-key"},
		{func(r *setting.Raw) { r.PeerKey = r.OperatorKey }, "must differ"},
		{func(r *setting.Raw) { r.Cert = "chain.pem" }, "--cert-key"},
		{func(r *setting.Raw) { r.CertKey = "key.pem" }, "--cert: "},
		{func(r *setting.Raw) { r.Cert, r.CertKey = "none.pem", "none.pem" }, "none.pem"},
		{func(r *setting.Raw) { r.Name = "" }, "--name"},
	} {
		raw := valid()
		c.change(&raw)
		if _, err := setting.New(raw); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("error = %v, want one that contains %q", err, c.want)
		}
	}
}

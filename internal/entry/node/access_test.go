package node_test

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/sourcegraph/jsonrpc2"

	"tamarackspool/internal/config/current"
	"tamarackspool/internal/entry/setting"
	"tamarackspool/internal/fleet/gossip"
	"tamarackspool/internal/fleet/member"
	"tamarackspool/internal/record/event"
)

const (
	peerToken     = "peer-secret"
	operatorToken = "operator-secret-token"
)

// credentials maps the description of a credential to the header name and value that carry it.
var credentials = map[string][2]string{
	"missing":                           {"Accept", "*/*"},
	"wrong":                             {"Authorization", "Bearer wrong-secret-token"},
	"empty":                             {"Authorization", "Bearer "},
	"prefix":                            {"Authorization", "Bearer " + operatorToken[:16]},
	"without scheme":                    {"Authorization", operatorToken},
	"peers' token":                      {"Authorization", "Bearer " + peerToken},
	"peers' token in its header":        {"Peer-Key", peerToken},
	"operators' token in peers' header": {"Peer-Key", operatorToken},
	"wrong in peers' header":            {"Peer-Key", "peer-secreT"},
	"operators' token":                  {"Authorization", "Bearer " + operatorToken},
}

func (s *testCluster) statusWith(name, method, url string) int {
	s.t.Helper()
	req, err := http.NewRequestWithContext(s.t.Context(), method, url, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	req.Header.Set("Tenant", "parents")
	req.Header.Set("Hop", "1")
	req.Header.Set(credentials[name][0], credentials[name][1])
	resp, err := s.client.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against an operators' or peers' port that accepts a missing or wrong token or the token of the other port,
// and against operators' or peers' routes that are reachable on the callers' port.
func TestTokensOfPorts(t *testing.T) {
	s := newTestCluster(t)
	a := s.start("e1", "ege-a")
	s.eventually("e1 has the configuration", a.Ready)
	call, _, relay, admin := a.Addresses()
	routes := map[string]string{"/config": "GET", "/status": "GET", "/audit": "GET", "/metrics": "GET", "/patch": "POST", "/drain": "POST"}
	for name := range credentials {
		t.Run(name, func(t *testing.T) {
			for path, method := range routes {
				code := s.statusWith(name, method, "http://"+admin+path)
				if (name == "operators' token") != (code != http.StatusUnauthorized) {
					t.Errorf("operators' port %s: status %d", path, code)
				}
				if code := s.statusWith(name, method, "http://"+call+path); code != http.StatusNotFound {
					t.Errorf("callers' port %s: status %d", path, code)
				}
			}
			trusted := name == "peers' token in its header"
			if code := s.statusWith(name, "GET", "http://"+relay+"/run/status/x"); trusted != (code != http.StatusForbidden) {
				t.Errorf("relay port: status %d", code)
			}
			if code := s.statusWith(name, "GET", "http://"+relay+"/attempt/x"); trusted != (code != http.StatusForbidden) {
				t.Errorf("attempt query: status %d", code)
			}
			if code := s.statusWith(name, "GET", "http://"+call+"/attempt/x"); code != http.StatusNotFound {
				t.Errorf("attempt query on the callers' port: status %d", code)
			}
		})
	}
}

// Guards against a control port that serves a peer with a wrong key or the operators' token, or a peer that
// calls a method before it has proved that it holds the key.
func TestTokensOfControlPort(t *testing.T) {
	s := newTestCluster(t)
	a := s.start("e1", "ege-a")
	s.eventually("e1 has the configuration", a.Ready)
	_, peer, _, _ := a.Addresses()
	for name, key := range map[string]string{"right": peerToken, "operators' token": operatorToken, "wrong": "peer-secreT", "prefix": peerToken[:8], "missing": ""} {
		t.Run(name, func(t *testing.T) {
			g := gossip.New(gossip.Settings{
				Self: member.New(member.Fields{Name: "e2", Incarnation: [16]byte{1}, Zone: "ege-b", Region: "ege"}), Key: []byte(key),
			}, gossip.Dependencies{
				Dial: (&net.Dialer{}).DialContext, Holder: current.New(), Now: time.Now, Events: event.New(log.NewNopLogger()),
			})
			defer g.Close()
			data, err := g.Status(t.Context(), netip.MustParseAddrPort(peer))
			if (name == "right") != (err == nil && len(data) > 0) {
				t.Errorf("status: %d bytes, %v", len(data), err)
			}
		})
	}
	for _, method := range []string{"status", "config", "exchange", "push", "tickets"} {
		if code := s.callWithoutProof(peer, method); code != jsonrpc2.CodeInvalidRequest {
			t.Errorf("%s without a proof: code %d", method, code)
		}
	}
}

// callWithoutProof calls the method without the handshake and returns the error code.
func (s *testCluster) callWithoutProof(address, method string) int64 {
	s.t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		s.t.Fatal(err)
	}
	defer conn.Close()
	codec := jsonrpc2.VarintObjectCodec{}
	if err := codec.WriteObject(conn, map[string]any{"jsonrpc": "2.0", "id": 1, "method": method, "params": map[string]any{}}); err != nil {
		s.t.Fatal(err)
	}
	var out struct{ Error struct{ Code int64 } }
	if err := codec.ReadObject(bufio.NewReader(conn), &out); err != nil {
		s.t.Fatal(err)
	}
	return out.Error.Code
}

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key and returns both files and a pool that trusts it.
func writeCertificate(t *testing.T) (chain, key string, trust *x509.CertPool) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	spec := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, spec, spec, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	write := func(name, kind string, data []byte) string {
		file := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	trust = x509.NewCertPool()
	trust.AddCert(parsed)
	return write("chain.pem", "CERTIFICATE", der), write("key.pem", "PRIVATE KEY", secret), trust
}

// Guards against callers' or operators' ports that still accept plain connections, or negotiate a protocol other
// than HTTP/1.1, when a certificate is set.
func TestTLS(t *testing.T) {
	s := newTestCluster(t)
	chain, key, trust := writeCertificate(t)
	s.adjustSettings = func(r *setting.Raw) { r.Cert, r.CertKey = chain, key }
	a := s.start("e1", "ege-a")
	b := s.start("e2", "ege-b")
	secure := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: trust}, ForceAttemptHTTP2: true}
	defer secure.CloseIdleConnections()
	get := func(client *http.Client, url string) (int, int, string) {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+operatorToken)
		req.Header.Set("Tenant", "parents")
		resp, err := client.Do(req)
		if err != nil {
			return 0, 0, ""
		}
		defer resp.Body.Close()
		var out json.RawMessage
		_ = json.NewDecoder(resp.Body).Decode(&out)
		return resp.StatusCode, resp.ProtoMajor, string(out)
	}
	for _, e := range []runningEntry{a, b} {
		call, _, _, admin := e.Addresses()
		// Each entry relays one of the services, so the peers' ports are used too.
		for _, path := range []string{call + "/run/status/x", admin + "/status"} {
			s.eventually(path+" over TLS", func() bool {
				code, major, _ := get(&http.Client{Transport: secure}, "https://"+path)
				return code == http.StatusOK && major == 1
			})
			if code, _, body := get(s.client, "http://"+path); code != http.StatusBadRequest || body != "" {
				t.Errorf("%s without TLS: status %d, %s", path, code, body)
			}
			if code, _, _ := get(&http.Client{Transport: &http.Transport{}}, "https://"+path); code != 0 {
				t.Errorf("%s was trusted without its certificate authority: status %d", path, code)
			}
		}
	}
}

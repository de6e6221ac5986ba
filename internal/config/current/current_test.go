package current_test

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"os"
	"testing"

	"tamarackspool/internal/config/codec"
	"tamarackspool/internal/config/current"
)

// encodedVersion returns the example configuration as version n with the given keep fraction, and its hash.
func encodedVersion(t *testing.T, n uint64, keep string) ([32]byte, []byte) {
	t.Helper()
	data, err := os.ReadFile("../../../examples/letters.json")
	if err != nil {
		t.Fatal(err)
	}
	data, _, err = codec.WithVersion(bytes.Replace(data, []byte(`"keep": 0.4`), []byte(`"keep": `+keep), 1), n)
	if err != nil {
		t.Fatal(err)
	}
	return sha256.Sum256(data), data
}

// Guards against a return to an older version, an undetected second content of one version, and serving below the floor.
func TestAdopt(t *testing.T) {
	c := current.New()
	h3, d3 := encodedVersion(t, 3, "0.3")
	h5, d5 := encodedVersion(t, 5, "0.1")
	forkHash, forkData := encodedVersion(t, 5, "0.2")
	c.Raise(5)
	c.Raise(4)
	if ok, err := c.Adopt(3, h3, d3); !ok || err != nil || c.Ready() {
		t.Fatalf("Adopt(3) = %v, %v; ready %v below the floor", ok, err, c.Ready())
	}
	if _, err := c.Adopt(5, h3, d5); !errors.Is(err, current.ErrHash) {
		t.Errorf("wrong hash: %v", err)
	}
	if _, err := c.Adopt(6, h5, d5); err == nil {
		t.Error("a document was adopted under another version")
	}
	if ok, err := c.Adopt(5, h5, d5); !ok || err != nil || !c.Ready() {
		t.Fatalf("Adopt(5) = %v, %v; ready %v", ok, err, c.Ready())
	}
	if _, err := c.Adopt(5, forkHash, forkData); !errors.Is(err, current.ErrFork) {
		t.Errorf("fork: %v", err)
	}
	if ok, err := c.Adopt(3, h3, d3); ok || err != nil || c.Document().Version() != 5 {
		t.Errorf("Adopt(3) after 5 = %v, %v; version %d", ok, err, c.Document().Version())
	}
	if v, h, d := c.Raw(); v != 5 || h != h5 || !bytes.Equal(d, d5) {
		t.Errorf("Raw = version %d", v)
	}
}

package gossip

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"
)

// packer compresses the held configuration once per version; it is safe for concurrent use.
type packer struct {
	mu   sync.Mutex
	hash [32]byte
	data []byte
}

// pack returns the compressed form of the configuration with the given hash.
func (p *packer) pack(hash [32]byte, data []byte) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.data != nil && p.hash == hash {
		return p.data, nil
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("gossip: pack: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("gossip: pack: %w", err)
	}
	p.hash, p.data = hash, out.Bytes()
	return p.data, nil
}

// unpack returns the configuration in its compressed form; it refuses one above the limit of a message.
func unpack(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("gossip: unpack: %w", err)
	}
	out, err := io.ReadAll(io.LimitReader(r, maxFrame+1))
	if err != nil {
		return nil, fmt.Errorf("gossip: unpack: %w", err)
	}
	if len(out) > maxFrame {
		return nil, fmt.Errorf("gossip: unpack: more than the limit of %d bytes", maxFrame)
	}
	return out, nil
}

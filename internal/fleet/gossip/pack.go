package gossip

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"
)

// configCompressor caches the compressed form of the local configuration; it is safe for concurrent use.
type configCompressor struct {
	mu   sync.Mutex
	hash [32]byte
	data []byte
}

// compress returns the compressed form of the configuration with the given hash.
func (p *configCompressor) compress(hash [32]byte, data []byte) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.data != nil && p.hash == hash {
		return p.data, nil
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("gossip: compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("gossip: compress: %w", err)
	}
	p.hash, p.data = hash, out.Bytes()
	return p.data, nil
}

// decompress decompresses a configuration; it fails if the result exceeds maxMessageBytes.
func decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("gossip: decompress: %w", err)
	}
	out, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return nil, fmt.Errorf("gossip: decompress: %w", err)
	}
	if len(out) > maxMessageBytes {
		return nil, fmt.Errorf("gossip: decompress: result exceeds the limit of %d bytes", maxMessageBytes)
	}
	return out, nil
}

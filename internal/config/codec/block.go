package codec

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"

	"tamarackspool/internal/config/document"
)

// MaxPartBytes is the largest part in bytes. The store accepts values of up to a megabyte,
// which may mean 1,000,000 bytes.
const MaxPartBytes = 1_000_000

// PartName returns the name of a part: its SHA-256 in hexadecimal.
func PartName(part []byte) string {
	sum := sha256.Sum256(part)
	return hex.EncodeToString(sum[:])
}

// EncodeBlocks returns the client address blocks, in order, as parts of at most MaxPartBytes bytes each.
func EncodeBlocks(blocks []document.ClientBlock) ([][]byte, error) {
	var parts [][]byte
	var part []byte
	for _, b := range blocks {
		item, err := json.Marshal(blockWire{b.Prefix().String(), b.Zone()})
		if err != nil {
			return nil, fmt.Errorf("codec: %w", err)
		}
		if len(part)+len(item)+2 > MaxPartBytes {
			parts = append(parts, append(part, ']'))
			part = nil
		}
		if part == nil {
			part = append(part, '[')
		} else {
			part = append(part, ',')
		}
		part = append(part, item...)
	}
	if part != nil {
		parts = append(parts, append(part, ']'))
	}
	return parts, nil
}

// DecodeBlocks returns the client address blocks of one part. Their zones must exist in the document d.
func DecodeBlocks(part []byte, d *document.Document) ([]document.ClientBlock, error) {
	var r faultList
	if len(part) > MaxPartBytes {
		r.addFault("blocks", "%d bytes; at most %d are accepted", len(part), MaxPartBytes)
		return nil, r.err()
	}
	var list []blockWire
	if err := decodeStrict(part, &list); err != nil {
		r.addFault("blocks", "%v", err)
		return nil, r.err()
	}
	blocks := make([]document.ClientBlock, 0, len(list))
	for i, w := range list {
		prefix, err := netip.ParsePrefix(w.Prefix)
		if err != nil || prefix != prefix.Masked() {
			r.addFault(fmt.Sprintf("blocks[%d].prefix", i), "%q; an address block such as 10.1.0.0/16 is accepted", w.Prefix)
		}
		if _, ok := d.Zone(w.Zone); !ok {
			r.addFault(fmt.Sprintf("blocks[%d].zone", i), "%q; a name from zones is accepted", w.Zone)
		}
		blocks = append(blocks, document.NewClientBlock(prefix, w.Zone))
	}
	return blocks, r.err()
}

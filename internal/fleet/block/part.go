package block

import (
	"errors"
	"fmt"
	"net/netip"

	"tamarackspool/internal/config/document"
)

// MaxPartBytes is the maximum size of a part in bytes; the store limits values to 1 MB.
const MaxPartBytes = 1_000_000

var errMalformedPart = errors.New("block: part is malformed")

// Encode encodes blocks in parts of at most MaxPartBytes. Each block is a length byte and the zone's name, then a length byte
// and the binary form of netip.Prefix. An empty name means the zone of the previous block in the part.
func Encode(blocks []document.ClientBlock) ([][]byte, error) {
	var parts [][]byte
	var part []byte
	zone := ""
	for _, b := range blocks {
		prefix, err := b.Prefix().MarshalBinary()
		if err != nil || b.Zone() == "" || len(b.Zone()) > 255 {
			return nil, fmt.Errorf("block: %v in zone %q cannot be encoded", b.Prefix(), b.Zone())
		}
		if len(part)+2+len(b.Zone())+len(prefix) > MaxPartBytes {
			parts, part, zone = append(parts, part), nil, ""
		}
		name := b.Zone()
		if name == zone {
			name = ""
		}
		zone = b.Zone()
		part = append(append(part, byte(len(name))), name...)
		part = append(append(part, byte(len(prefix))), prefix...)
	}
	if len(part) > 0 {
		parts = append(parts, part)
	}
	return parts, nil
}

// Decode returns the blocks of the parts in order.
func Decode(parts [][]byte) ([]document.ClientBlock, error) {
	var blocks []document.ClientBlock
	for _, part := range parts {
		zone := ""
		for len(part) > 0 {
			name, rest, err := readField(part)
			if err != nil {
				return nil, err
			}
			if len(name) > 0 && string(name) != zone {
				zone = string(name)
			}
			data, rest, err := readField(rest)
			if err != nil {
				return nil, err
			}
			var prefix netip.Prefix
			if err := prefix.UnmarshalBinary(data); err != nil || !prefix.IsValid() || zone == "" {
				return nil, errMalformedPart
			}
			blocks = append(blocks, document.NewClientBlock(prefix, zone))
			part = rest
		}
	}
	return blocks, nil
}

func readField(data []byte) (value, rest []byte, err error) {
	if len(data) == 0 || len(data) < 1+int(data[0]) {
		return nil, nil, errMalformedPart
	}
	n := 1 + int(data[0])
	return data[1:n], data[n:], nil
}

package claim

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// hash is the truncated SHA-256 of a tenant, a service and a key.
type hash [16]byte

// head is the stored value of a range with its epoch, its owner and the number of its newest segment.
type head struct {
	epoch   uint64
	owner   string
	segment uint64
}

// segment is a stored list of claimed keys; batch is the sequence number of the write within its epoch.
type segment struct {
	epoch   uint64
	owner   string
	batch   uint64
	created time.Time
	keys    []hash
}

type wireHead struct {
	Epoch   uint64 `json:"epoch"`
	Owner   string `json:"owner"`
	Segment uint64 `json:"segment"`
}

type wireSegment struct {
	Epoch   uint64 `json:"epoch"`
	Owner   string `json:"owner"`
	Batch   uint64 `json:"batch"`
	Created int64  `json:"created"`
	Keys    []byte `json:"keys"`
}

func (h head) encode() []byte {
	data, err := json.Marshal(wireHead{h.epoch, h.owner, h.segment})
	if err != nil {
		panic("claim: encoding a head failed: " + err.Error())
	}
	return data
}

func decodeHead(data []byte) (head, error) {
	var w wireHead
	if err := json.Unmarshal(data, &w); err != nil {
		return head{}, fmt.Errorf("claim: invalid head: %w", err)
	}
	return head{w.Epoch, w.Owner, w.Segment}, nil
}

func (s segment) encode() []byte {
	packed := make([]byte, 0, len(s.keys)*len(hash{}))
	for _, k := range s.keys {
		packed = append(packed, k[:]...)
	}
	data, err := json.Marshal(wireSegment{s.epoch, s.owner, s.batch, s.created.UnixMilli(), packed})
	if err != nil {
		panic("claim: encoding a segment failed: " + err.Error())
	}
	return data
}

func decodeSegment(data []byte) (segment, error) {
	var w wireSegment
	if err := json.Unmarshal(data, &w); err != nil {
		return segment{}, fmt.Errorf("claim: invalid segment: %w", err)
	}
	if len(w.Keys)%len(hash{}) != 0 {
		return segment{}, errors.New("claim: the length of a segment's key data is not a multiple of the key size")
	}
	s := segment{epoch: w.Epoch, owner: w.Owner, batch: w.Batch, created: time.UnixMilli(w.Created)}
	for i := 0; i < len(w.Keys); i += len(hash{}) {
		s.keys = append(s.keys, hash(w.Keys[i:i+len(hash{})]))
	}
	return s, nil
}

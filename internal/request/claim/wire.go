package claim

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// hash identifies a key of a tenant and a service.
type hash [16]byte

// head is the value of a range that names its keeper and its newest segment.
type head struct {
	epoch   uint64
	owner   string
	segment uint64
}

// segment holds claimed keys; batch numbers the writes of one epoch.
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
		panic("claim: a head of numbers and text always encodes: " + err.Error())
	}
	return data
}

func decodeHead(data []byte) (head, error) {
	var w wireHead
	if err := json.Unmarshal(data, &w); err != nil {
		return head{}, fmt.Errorf("claim: head cannot be read: %w", err)
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
		panic("claim: a segment of numbers and bytes always encodes: " + err.Error())
	}
	return data
}

func decodeSegment(data []byte) (segment, error) {
	var w wireSegment
	if err := json.Unmarshal(data, &w); err != nil {
		return segment{}, fmt.Errorf("claim: segment cannot be read: %w", err)
	}
	if len(w.Keys)%len(hash{}) != 0 {
		return segment{}, errors.New("claim: segment holds part of a key")
	}
	s := segment{epoch: w.Epoch, owner: w.Owner, batch: w.Batch, created: time.UnixMilli(w.Created)}
	for i := 0; i < len(w.Keys); i += len(hash{}) {
		s.keys = append(s.keys, hash(w.Keys[i:i+len(hash{})]))
	}
	return s, nil
}

package gossip

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
)

// The labels prevent a proof of one side from being replayed as a proof of the other side.
const (
	labelServer = "tamarackspool peer server"
	labelClient = "tamarackspool peer client"
	nonceBytes  = 16
)

func newNonce() []byte {
	n := make([]byte, nonceBytes)
	_, _ = rand.Read(n) // crypto/rand.Read never returns an error.
	return n
}

// proof returns an HMAC over the label and the two nonces of a connection, which proves possession of the key.
func proof(key []byte, label string, client, server []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(label))
	h.Write(client)
	h.Write(server)
	return h.Sum(nil)
}

// verifyProof reports whether got is the proof of the label and the nonces; it compares in constant time.
func verifyProof(key []byte, label string, client, server, got []byte) bool {
	return len(client) == nonceBytes && len(server) == nonceBytes &&
		hmac.Equal(proof(key, label, client, server), got)
}

package gossip

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
)

// The labels keep a proof of one side from being played back as that of the other.
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

// proof shows knowledge of the key for the two nonces of a connection without sending the key.
func proof(key []byte, label string, client, server []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(label))
	h.Write(client)
	h.Write(server)
	return h.Sum(nil)
}

// proves compares in constant time.
func proves(key []byte, label string, client, server, got []byte) bool {
	return len(client) == nonceBytes && len(server) == nonceBytes &&
		hmac.Equal(proof(key, label, client, server), got)
}

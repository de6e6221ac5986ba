package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base32"
	"encoding/binary"
	"errors"
	"strconv"
	"strings"
)

const (
	// Prefix is the prefix of every ticket; caller-chosen keys must not start with it.
	Prefix = "t1."

	macSize = 16 // bytes of the truncated HMAC-SHA256
)

// ErrForged is returned for a ticket that no entry issued to the tenant for the service.
var ErrForged = errors.New("ticket: not issued by this system for this tenant and service")

var encoding = base32.HexEncoding.WithPadding(base32.NoPadding)

// Incarnation identifies one run of an entry process.
type Incarnation [16]byte

// String returns the incarnation in base 32.
func (n Incarnation) String() string { return strings.ToLower(encoding.EncodeToString(n[:])) }

// Ticket is the right of one entry process to execute one request.
type Ticket struct {
	issuer  Incarnation
	serial  uint64
	tenant  string
	service string
}

// New returns the ticket with the given serial for a tenant's request to a service.
func New(issuer Incarnation, serial uint64, tenant, service string) Ticket {
	return Ticket{issuer, serial, tenant, service}
}

// Issuer returns the only incarnation that may execute the request.
func (t Ticket) Issuer() Incarnation { return t.issuer }

// Serial returns the sequence number of the ticket at its issuer.
func (t Ticket) Serial() uint64 { return t.serial }

// Tenant returns the tenant that the ticket was issued to.
func (t Ticket) Tenant() string { return t.tenant }

// Service returns the service that the ticket was issued for.
func (t Ticket) Service() string { return t.service }

// Key signs and verifies tickets and is safe for concurrent use.
type Key struct{ secret []byte }

// NewKey returns the ticket key that all entries derive from their shared peer key.
func NewKey(peerKey []byte) *Key {
	mac := hmac.New(sha256.New, peerKey)
	mac.Write([]byte("ticket"))
	return &Key{secret: mac.Sum(nil)}
}

// Encode returns the signed ticket as the caller sends it in the Idempotency-Key header.
func (k *Key) Encode(t Ticket) string {
	return Prefix + t.issuer.String() + "." + strconv.FormatUint(t.serial, 36) + "." +
		strings.ToLower(encoding.EncodeToString(k.mac(t)))
}

// Parse decodes and verifies a ticket; it returns ErrForged unless the ticket was issued to the tenant for the service.
func (k *Key) Parse(text, tenant, service string) (Ticket, error) {
	parts := strings.Split(strings.TrimPrefix(text, Prefix), ".")
	if !strings.HasPrefix(text, Prefix) || len(parts) != 3 {
		return Ticket{}, ErrForged
	}
	issuer, err := encoding.DecodeString(strings.ToUpper(parts[0]))
	if err != nil || len(issuer) != len(Incarnation{}) {
		return Ticket{}, ErrForged
	}
	serial, err := strconv.ParseUint(parts[1], 36, 64)
	if err != nil {
		return Ticket{}, ErrForged
	}
	t := New(Incarnation(issuer), serial, tenant, service)
	// The whole text is compared, so that a ticket has only one valid encoding and
	// a repeat cannot use another one to appear as a different key.
	if !hmac.Equal([]byte(k.Encode(t)), []byte(text)) {
		return Ticket{}, ErrForged
	}
	return t, nil
}

func (k *Key) mac(t Ticket) []byte {
	mac := hmac.New(sha256.New, k.secret)
	mac.Write(t.issuer[:])
	mac.Write(binary.BigEndian.AppendUint64(nil, t.serial))
	// The length prefix distinguishes tenant "a", service "bc" from tenant "ab", service "c".
	mac.Write(binary.BigEndian.AppendUint32(nil, uint32(len(t.tenant))))
	mac.Write([]byte(t.tenant))
	mac.Write([]byte(t.service))
	return mac.Sum(nil)[:macSize]
}

// IsTicket reports whether a key has the prefix of a ticket; it does not verify the ticket.
func IsTicket(text string) bool { return strings.HasPrefix(text, Prefix) }

package caller

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"
)

// A ConfigError reports a field of a configuration that is out of range.
type ConfigError struct {
	// Field names the field.
	Field string
	// Problem says what the field must be.
	Problem string
}

// Error returns the field's name and the problem.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("caller: %s %s", e.Field, e.Problem)
}

// KeyIssuerConfig configures a KeyIssuer.
type KeyIssuerConfig struct {
	// Owner is this instance's address for its peers, without a zone.
	Owner netip.AddrPort
	// Incarnation tells this process from its predecessors at Owner.
	Incarnation uint64
	// Secret authenticates the keys. It is random, of this process alone.
	Secret [32]byte
	// Start is the time from which the keys count their time of issue.
	Start time.Time
}

// KeyIssuer issues the submission keys of one process and checks them.
//
// KeyIssuer is not safe for concurrent use.
type KeyIssuer struct {
	cfg    KeyIssuerConfig
	serial uint64
	issued time.Duration
}

// NewKeyIssuer returns a KeyIssuer that has issued no key. It returns a *ConfigError if
// the owner is no valid address and port, or has a zone.
func NewKeyIssuer(cfg KeyIssuerConfig) (*KeyIssuer, error) {
	if !cfg.Owner.IsValid() || cfg.Owner.Addr().Zone() != "" {
		return nil, &ConfigError{Field: "Owner", Problem: "must be an address without a zone"}
	}
	return &KeyIssuer{cfg: cfg}, nil
}

// Issue returns a new key, issued at now. A time before that of the key
// before it counts as that one's, so that the order of issue is the order of
// time too.
func (k *KeyIssuer) Issue(now time.Time) Key {
	k.issued = max(k.issued, now.Sub(k.cfg.Start).Truncate(time.Millisecond))
	k.serial++
	key := Key{
		Owner:       k.cfg.Owner,
		Incarnation: k.cfg.Incarnation,
		Issued:      k.issued,
		Serial:      k.serial,
	}
	key.MAC = k.mac(key)
	return key
}

// Verify returns nil if k issued key. Otherwise it returns a
// *KeyError, whose fault is KeyOtherOwner, KeyOtherIncarnation or KeyForged.
func (k *KeyIssuer) Verify(key Key) error {
	switch {
	case key.Owner != k.cfg.Owner:
		return &KeyError{Text: key.String(), Fault: KeyOtherOwner}
	case key.Incarnation != k.cfg.Incarnation:
		return &KeyError{Text: key.String(), Fault: KeyOtherIncarnation}
	case key.MAC != k.mac(key):
		return &KeyError{Text: key.String(), Fault: KeyForged}
	}
	return nil
}

// mac returns what the mac of key must be.
func (k *KeyIssuer) mac(key Key) uint64 {
	var buf [keyBytesIPv6]byte
	mac := hmac.New(sha256.New, k.cfg.Secret[:])
	_, _ = mac.Write(key.appendSigned(buf[:0]))
	return binary.BigEndian.Uint64(mac.Sum(nil))
}

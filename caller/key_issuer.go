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
	// Problem is the requirement that the field violates.
	Problem string
}

// Error returns the field's name and the problem.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("caller: %s %s", e.Field, e.Problem)
}

// KeyIssuerConfig configures a KeyIssuer.
type KeyIssuerConfig struct {
	// Owner is the address at which peers reach this instance. It must have
	// no IPv6 zone.
	Owner netip.AddrPort
	// Incarnation distinguishes this process from earlier processes at Owner.
	Incarnation uint64
	// Secret is the key of the MAC that authenticates submission keys. It
	// must be random and known to this process only.
	Secret [32]byte
	// Start is the time from which Key.Issued counts.
	Start time.Time
}

// A KeyIssuer issues the submission keys of one process and verifies them.
//
// A KeyIssuer is not safe for concurrent use.
type KeyIssuer struct {
	cfg        KeyIssuerConfig
	lastSerial uint64
	lastIssued time.Duration
}

// NewKeyIssuer returns a KeyIssuer that has issued no key. It returns a
// *ConfigError if cfg.Owner is not a valid address and port, or has a zone.
func NewKeyIssuer(cfg KeyIssuerConfig) (*KeyIssuer, error) {
	if !cfg.Owner.IsValid() || cfg.Owner.Addr().Zone() != "" {
		return nil, &ConfigError{Field: "Owner", Problem: "must be an address without a zone"}
	}
	return &KeyIssuer{cfg: cfg}, nil
}

// Issue returns a new key, issued at now. If now is before the time of issue
// of the previous key, the new key gets the time of the previous key, so that
// Issued never decreases as Serial increases.
func (k *KeyIssuer) Issue(now time.Time) Key {
	k.lastIssued = max(k.lastIssued, now.Sub(k.cfg.Start).Truncate(time.Millisecond))
	k.lastSerial++
	key := Key{
		Owner:       k.cfg.Owner,
		Incarnation: k.cfg.Incarnation,
		Issued:      k.lastIssued,
		Serial:      k.lastSerial,
	}
	key.MAC = k.mac(key)
	return key
}

// Verify returns nil if this KeyIssuer issued key. Otherwise it returns a
// *KeyError with the fault KeyOtherOwner, KeyOtherIncarnation or KeyForged.
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

// mac returns the MAC over all other fields of key.
func (k *KeyIssuer) mac(key Key) uint64 {
	var buf [keyBytesIPv6]byte
	mac := hmac.New(sha256.New, k.cfg.Secret[:])
	_, _ = mac.Write(key.appendAuthenticated(buf[:0]))
	return binary.BigEndian.Uint64(mac.Sum(nil))
}

package caller

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"
)

// The binary form of a Key, version 1: the version, the owner's address (4 or
// 16 bytes) and port, the incarnation, the time of issue in ms, the serial and
// the MAC, each in big-endian order.
const (
	keyVersion     = 1
	keyIssuedBytes = 6
	keyTailBytes   = 2 + 8 + keyIssuedBytes + 8 + 8
	keyBytesIPv4   = 1 + 4 + keyTailBytes
	keyBytesIPv6   = 1 + 16 + keyTailBytes
	keyMaxIssued   = time.Duration(1<<63-1) / time.Millisecond
)

// keyEncoding is the encoding of the text form. It is strict, so that each Key
// has exactly one text form.
var keyEncoding = base64.RawURLEncoding.Strict()

// A Key is a submission key: it identifies a submission and the entry instance
// that issued the key, which is its owner. Its text form is opaque to callers.
// Keys can be compared with ==. The zero Key identifies no submission, and its
// text form is empty.
type Key struct {
	// Owner is the address at which peers reach the issuing instance,
	// without an IPv6 zone.
	Owner netip.AddrPort
	// Incarnation distinguishes the issuing process from earlier processes at
	// the same address.
	Incarnation uint64
	// Issued is the time from KeyIssuerConfig.Start to the issue of the key,
	// in whole milliseconds. It is not negative.
	Issued time.Duration
	// Serial numbers the owner's keys from 1 in the order of issue.
	Serial uint64
	// MAC is a message authentication code over the other fields, truncated
	// to 64 bits.
	MAC uint64
}

// A KeyFault states why an instance rejects a key.
type KeyFault string

// The faults of a key.
const (
	// KeyMalformed means that the text or bytes do not encode a key.
	KeyMalformed KeyFault = "malformed"
	// KeyOtherOwner means that another entry instance issued the key.
	KeyOtherOwner KeyFault = "other-owner"
	// KeyOtherIncarnation means that another process at the owner's address
	// issued the key.
	KeyOtherIncarnation KeyFault = "other-incarnation"
	// KeyForged means that the key has the owner and the incarnation of this
	// process, but that this process did not issue it.
	KeyForged KeyFault = "forged"
)

// A KeyError reports a key that is malformed or that the receiving instance
// did not issue.
type KeyError struct {
	// Text is the key's text form. If the fault is KeyMalformed, it is the
	// rejected text, cut to 80 bytes.
	Text string
	// Fault is what is wrong with the key.
	Fault KeyFault
}

// maxKeyErrorBytes is the maximum number of bytes of a malformed text that a
// KeyError contains.
const maxKeyErrorBytes = 80

// Error returns the fault and the key's quoted text.
func (e *KeyError) Error() string {
	return fmt.Sprintf("key %q: %s", e.Text, e.Fault)
}

// IsZero reports whether k is the zero Key.
func (k Key) IsZero() bool {
	return k == Key{}
}

// String returns the text form of k, which ParseKey accepts. It is empty for
// the zero Key.
func (k Key) String() string {
	text, _ := k.MarshalText()
	return string(text)
}

// AppendText appends the text form of k to b. The error is always nil.
func (k Key) AppendText(b []byte) ([]byte, error) {
	var buf [keyBytesIPv6]byte
	binaryForm, _ := k.AppendBinary(buf[:0])
	return keyEncoding.AppendEncode(b, binaryForm), nil
}

// MarshalText returns the text form of k. The error is always nil.
func (k Key) MarshalText() ([]byte, error) {
	return k.AppendText(nil)
}

// UnmarshalText sets k to the key with the given text form, or to the zero Key
// if text is empty. It returns a *KeyError if the text is malformed.
func (k *Key) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*k = Key{}
		return nil
	}
	parsed, err := ParseKey(string(text))
	if err != nil {
		return err
	}
	*k = parsed
	return nil
}

// AppendBinary appends the binary form of k to b. The binary form of the zero
// Key is empty. The error is always nil.
func (k Key) AppendBinary(b []byte) ([]byte, error) {
	if k.IsZero() {
		return b, nil
	}
	b = k.appendAuthenticated(b)
	return binary.BigEndian.AppendUint64(b, k.MAC), nil
}

// MarshalBinary returns the binary form of k. The error is always nil.
func (k Key) MarshalBinary() ([]byte, error) {
	return k.AppendBinary(nil)
}

// UnmarshalBinary sets k to the key with the given binary form, or to the zero
// Key if form is empty. It returns a *KeyError if the form is malformed.
func (k *Key) UnmarshalBinary(form []byte) error {
	if len(form) == 0 {
		*k = Key{}
		return nil
	}
	decoded, ok := decodeKey(form)
	if !ok {
		return malformedKey(keyEncoding.EncodeToString(form[:min(len(form), keyBytesIPv6)]))
	}
	*k = decoded
	return nil
}

// ParseKey returns the key with the given text form. It returns a *KeyError
// with the fault KeyMalformed if the text is empty or does not encode a key.
func ParseKey(text string) (Key, error) {
	if len(text) > keyEncoding.EncodedLen(keyBytesIPv6) {
		return Key{}, malformedKey(text)
	}
	form, err := keyEncoding.DecodeString(text)
	if err != nil {
		return Key{}, malformedKey(text)
	}
	k, ok := decodeKey(form)
	// The decoder skips line breaks, which are not allowed in a key's text.
	if !ok || len(text) != keyEncoding.EncodedLen(len(form)) {
		return Key{}, malformedKey(text)
	}
	return k, nil
}

// appendAuthenticated appends the bytes covered by the MAC of k.
func (k Key) appendAuthenticated(b []byte) []byte {
	b = append(b, keyVersion)
	b = append(b, k.Owner.Addr().AsSlice()...)
	b = binary.BigEndian.AppendUint16(b, k.Owner.Port())
	b = binary.BigEndian.AppendUint64(b, k.Incarnation)
	issued := binary.BigEndian.AppendUint64(nil, uint64(k.Issued.Milliseconds()))
	b = append(b, issued[8-keyIssuedBytes:]...)
	return binary.BigEndian.AppendUint64(b, k.Serial)
}

// decodeKey returns the key with the given binary form. It returns false if
// form does not encode a key.
func decodeKey(form []byte) (Key, bool) {
	if len(form) != keyBytesIPv4 && len(form) != keyBytesIPv6 || form[0] != keyVersion {
		return Key{}, false
	}
	tail := form[len(form)-keyTailBytes:]
	address, _ := netip.AddrFromSlice(form[1 : len(form)-keyTailBytes])
	issued := binary.BigEndian.Uint64(tail[8:16]) & (1<<(8*keyIssuedBytes) - 1)
	if issued > uint64(keyMaxIssued) {
		return Key{}, false
	}
	return Key{
		Owner:       netip.AddrPortFrom(address, binary.BigEndian.Uint16(tail)),
		Incarnation: binary.BigEndian.Uint64(tail[2:]),
		Issued:      time.Duration(issued) * time.Millisecond,
		Serial:      binary.BigEndian.Uint64(tail[16:]),
		MAC:         binary.BigEndian.Uint64(tail[24:]),
	}, true
}

func malformedKey(text string) *KeyError {
	return &KeyError{Text: text[:min(len(text), maxKeyErrorBytes)], Fault: KeyMalformed}
}

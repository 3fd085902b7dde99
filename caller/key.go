package caller

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"
)

// The binary form of a Key, version 1: the version, the owner's address (4 or
// 16 bytes) and port, the incarnation, the time of issue in ms, the serial
// number and the check, each in big-endian order.
const (
	keyVersion     = 1
	keyIssuedBytes = 6
	keyTailBytes   = 2 + 8 + keyIssuedBytes + 8 + 8
	keyBytesIPv4   = 1 + 4 + keyTailBytes
	keyBytesIPv6   = 1 + 16 + keyTailBytes
	keyMaxIssued   = time.Duration(1<<63-1) / time.Millisecond
)

// keyEncoding is the text form's alphabet. It is strict, so that each Key has
// one text.
var keyEncoding = base64.RawURLEncoding.Strict()

// A Key identifies a submission and names the entry instance that issued it.
// Its text form is opaque to callers. Keys compare with ==. The zero Key
// identifies nothing, and its text is empty.
type Key struct {
	// Owner is the issuing instance's address for its peers, without a zone.
	Owner netip.AddrPort
	// Incarnation tells the owner's process from its predecessors.
	Incarnation uint64
	// Issued is the time of issue, in whole milliseconds since the owner's
	// start. It is not negative.
	Issued time.Duration
	// Serial counts the owner's keys from 1 in the order of issue.
	Serial uint64
	// MAC authenticates the other fields.
	MAC uint64
}

// A KeyFault says what is wrong with a key.
type KeyFault string

// The faults of a key.
const (
	// KeyMalformed means that the text or bytes are no key's.
	KeyMalformed KeyFault = "malformed"
	// KeyOtherOwner means that another entry instance issued the key.
	KeyOtherOwner KeyFault = "other-owner"
	// KeyOtherIncarnation means that another process at the owner's address
	// issued the key.
	KeyOtherIncarnation KeyFault = "other-incarnation"
	// KeyForged means that the key names this process, which did not issue it.
	KeyForged KeyFault = "forged"
)

// A KeyError reports a key that can't be used where it was given.
type KeyError struct {
	// Text is the key's text form, at most 80 bytes of it.
	Text string
	// Fault says what is wrong with the key.
	Fault KeyFault
}

// maxKeyErrorBytes bounds what a KeyError repeats of a bad text.
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

// UnmarshalText sets k to the key of the given text form; an empty text gives
// the zero Key. It returns a *KeyError if the text is malformed.
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

// AppendBinary appends the binary form of k to b, nothing for the zero Key.
// The error is always nil.
func (k Key) AppendBinary(b []byte) ([]byte, error) {
	if k.IsZero() {
		return b, nil
	}
	b = k.appendSigned(b)
	return binary.BigEndian.AppendUint64(b, k.MAC), nil
}

// MarshalBinary returns the binary form of k. The error is always nil.
func (k Key) MarshalBinary() ([]byte, error) {
	return k.AppendBinary(nil)
}

// UnmarshalBinary sets k to the key of the given binary form; no bytes give
// the zero Key. It returns a *KeyError if the form is malformed.
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

// ParseKey returns the key of the given text form. It returns a *KeyError
// with the fault KeyMalformed if the text is no key's; an empty text is none.
func ParseKey(text string) (Key, error) {
	if len(text) > keyEncoding.EncodedLen(keyBytesIPv6) {
		return Key{}, malformedKey(text)
	}
	form, err := keyEncoding.DecodeString(text)
	if err != nil {
		return Key{}, malformedKey(text)
	}
	k, ok := decodeKey(form)
	// The encoding skips line breaks, which no key's text holds.
	if !ok || len(text) != keyEncoding.EncodedLen(len(form)) {
		return Key{}, malformedKey(text)
	}
	return k, nil
}

// appendSigned appends what the check of k covers.
func (k Key) appendSigned(b []byte) []byte {
	b = append(b, keyVersion)
	b = append(b, k.Owner.Addr().AsSlice()...)
	b = binary.BigEndian.AppendUint16(b, k.Owner.Port())
	b = binary.BigEndian.AppendUint64(b, k.Incarnation)
	issued := binary.BigEndian.AppendUint64(nil, uint64(k.Issued.Milliseconds()))
	b = append(b, issued[8-keyIssuedBytes:]...)
	return binary.BigEndian.AppendUint64(b, k.Serial)
}

// decodeKey returns the key of a binary form and whether it is one.
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

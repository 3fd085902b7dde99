package caller_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

var issuerStart = time.Unix(1_000_000, 0)

type failer interface {
	Helper()
	Fatal(...any)
}

func newKeyIssuer(t failer, owner string, incarnation uint64) *caller.KeyIssuer {
	t.Helper()
	issuer, err := caller.NewKeyIssuer(caller.KeyIssuerConfig{
		Owner:       netip.MustParseAddrPort(owner),
		Incarnation: incarnation,
		Secret:      [32]byte{byte(incarnation), 1},
		Start:       issuerStart,
	})
	if err != nil {
		t.Fatal(err)
	}
	return issuer
}

func ExampleKeyIssuer() {
	start := time.Unix(1_000_000, 0)
	issuer, err := caller.NewKeyIssuer(caller.KeyIssuerConfig{
		Owner:       netip.MustParseAddrPort("127.0.0.1:7000"),
		Incarnation: 1,
		Secret:      [32]byte{1},
		Start:       start,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	key := issuer.Issue(start.Add(time.Second))
	parsed, err := caller.ParseKey(key.String())
	fmt.Println(parsed == key, err, issuer.Verify(parsed))
	parsed.Serial++
	fmt.Println(errors.As(issuer.Verify(parsed), new(*caller.KeyError)))
	// Output:
	// true <nil> <nil>
	// true
}

func TestKeyIssuerVerifyReportsFault(t *testing.T) {
	issuer := newKeyIssuer(t, "127.0.0.1:7000", 1)
	key := issuer.Issue(issuerStart)
	forged := []caller.Key{key, key, key}
	forged[0].Serial++
	forged[1].Issued += time.Millisecond
	forged[2].MAC ^= 1 << 63
	tests := []struct {
		key   caller.Key
		fault caller.KeyFault
	}{
		{newKeyIssuer(t, "127.0.0.1:7001", 1).Issue(issuerStart), caller.KeyOtherOwner},
		{newKeyIssuer(t, "127.0.0.1:7000", 2).Issue(issuerStart), caller.KeyOtherIncarnation},
		{forged[0], caller.KeyForged},
		{forged[1], caller.KeyForged},
		{forged[2], caller.KeyForged},
		{caller.Key{}, caller.KeyOtherOwner},
	}
	for _, test := range tests {
		is := is.New(t)
		var keyErr *caller.KeyError
		is.True(errors.As(issuer.Verify(test.key), &keyErr))
		is.Equal(keyErr.Fault, test.fault)
	}
}

func TestKeyIssuerIssuesInOrderOfTime(t *testing.T) {
	is := is.New(t)
	issuer := newKeyIssuer(t, "127.0.0.1:7000", 1)
	first := issuer.Issue(issuerStart.Add(time.Minute))
	second := issuer.Issue(issuerStart)
	is.True(second.Serial > first.Serial)
	is.Equal(second.Issued, time.Minute) // the clock went back, the time of issue did not
}

func TestParseKeyRejectsBadText(t *testing.T) {
	good := newKeyIssuer(t, "127.0.0.1:7000", 1).Issue(issuerStart).String()
	bad := []string{
		"", "A", "!", good + "A", good[1:], good[:len(good)-1], good + "\n",
		good[:10] + "\r\n" + good[10:], "B" + good[1:], strings.Repeat("A", 1<<20),
	}
	for _, text := range bad {
		is := is.New(t)
		_, err := caller.ParseKey(text)
		var keyErr *caller.KeyError
		is.True(errors.As(err, &keyErr))
		is.Equal(keyErr.Fault, caller.KeyMalformed)
		is.True(len(keyErr.Text) <= 80)
	}
}

func TestKeyJSONRoundTrips(t *testing.T) {
	is := is.New(t)
	key := newKeyIssuer(t, "[::1]:7000", 1).Issue(issuerStart)
	for _, want := range []caller.Key{key, {}} {
		text, err := json.Marshal(want)
		is.NoErr(err)
		var got caller.Key
		is.NoErr(json.Unmarshal(text, &got))
		is.Equal(got, want)
	}
}

package main

import (
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pelletier/go-toml/v2"
)

// slopeReference matches S(name, size), R(name, size) and s(name) in
// docs/CAPACITY.md.
var slopeReference = regexp.MustCompile(`\b([SRs])\(([a-z0-9-]+)(?:, ([0-9,]+))?`)

// TestCapacityPageNamesExistingSlopes checks that docs/slopes.toml has each slope,
// and each reading, that docs/CAPACITY.md names. A renamed slope or a changed size
// would leave a reference without a value.
func TestCapacityPageNamesExistingSlopes(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	is.NoErr(err)
	text, err := os.ReadFile("../../docs/slopes.toml")
	is.NoErr(err)
	var file report
	is.NoErr(toml.Unmarshal(text, &file))
	quotes := slopeReference.FindAllStringSubmatch(string(page), -1)
	is.True(len(quotes) > 0)
	for _, q := range quotes {
		at := slices.IndexFunc(file.Slopes, func(s slope) bool { return s.Name == q[2] })
		if at < 0 {
			t.Errorf("%s refers to a slope that does not exist", q[0])
			continue
		}
		if q[1] != "R" {
			continue
		}
		size, err := strconv.Atoi(strings.ReplaceAll(q[3], ",", ""))
		is.NoErr(err)
		if !slices.Contains(file.Slopes[at].Sizes, size) {
			t.Errorf("%s refers to a size that was not measured", q[0])
		}
	}
}

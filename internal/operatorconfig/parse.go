package operatorconfig

import (
	"math"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
)

// kind tells how a value is written.
type kind int

// The kinds.
const (
	text     kind = iota // "..."
	size                 // "4MiB", "64KiB", "100B", or bytes as a number
	duration             // "50ms", "10m"; held in ms
	whole                // a whole number
	number               // any number
	names                // a list of texts
)

var kindHelp = [...]string{
	text:     "a text",
	size:     `a size such as "4MiB"`,
	duration: `a time such as "50ms" or "10m"`,
	whole:    "a whole number",
	number:   "a number",
	names:    "a list of texts",
}

const (
	kiB   = 1 << 10
	miB   = 1 << 20
	dayMS = 24 * 3600e3
)

// units are those of a size; the longer ones come first, as all end in B.
var units = []struct {
	name  string
	bytes float64
}{{"KiB", kiB}, {"MiB", miB}, {"kB", 1e3}, {"MB", 1e6}, {"B", 1}}

// take reads one value.
func (f *field) take(v *values, x cty.Value, at hcl.Range) *hcl.Diagnostic {
	if x.IsNull() || !x.IsKnown() {
		return complaint(at, "%s has no value", f.name)
	}
	switch f.kind {
	case text:
		return f.takeText(v, x, at)
	case names:
		return f.takeNames(v, x, at)
	}
	n, ok := f.parseNumber(x)
	if !ok {
		return f.expected(at)
	}
	if n < f.min || n > f.max {
		return complaint(at, "%s must be from %s to %s", f.name, f.show(f.min), f.show(f.max))
	}
	v.nums[f.name] = n
	return nil
}

func (f *field) expected(at hcl.Range) *hcl.Diagnostic {
	return complaint(at, "%s must be %s", f.name, kindHelp[f.kind])
}

func (f *field) takeText(v *values, x cty.Value, at hcl.Range) *hcl.Diagnostic {
	if x.Type() != cty.String {
		return f.expected(at)
	}
	value := x.AsString()
	v.texts[f.name] = value
	if value == "" {
		return complaint(at, "%s is empty", f.name)
	}
	isPath := f.name == "directory" || f.name == "socket"
	if isPath && !filepath.IsAbs(value) {
		return complaint(at, "%s must be an absolute path, not %q", f.name, value)
	}
	return nil
}

func (f *field) takeNames(v *values, x cty.Value, at hcl.Range) *hcl.Diagnostic {
	if !x.Type().IsTupleType() && !x.Type().IsListType() {
		return f.expected(at)
	}
	v.lists[f.name] = []string{}
	for it := x.ElementIterator(); it.Next(); {
		_, e := it.Element()
		if e.Type() != cty.String || e.IsNull() || !e.IsKnown() {
			return f.expected(at)
		}
		v.lists[f.name] = append(v.lists[f.name], e.AsString())
	}
	return nil
}

// parseNumber reads a size, a duration or a number.
func (f *field) parseNumber(x cty.Value) (float64, bool) {
	switch {
	case f.kind == duration && x.Type() == cty.String:
		d, err := time.ParseDuration(x.AsString())
		return float64(d) / float64(time.Millisecond), err == nil
	case f.kind == size && x.Type() == cty.String:
		return parseSize(x.AsString())
	case f.kind != duration && x.Type() == cty.Number:
		n, _ := x.AsBigFloat().Float64()
		return n, f.kind == number || n == math.Trunc(n)
	}
	return 0, false
}

// show writes a bound as the file would.
func (f *field) show(n float64) string {
	switch {
	case f.kind == duration:
		return (time.Duration(n) * time.Millisecond).String()
	case f.kind == size && n >= miB:
		return strconv.FormatFloat(n/miB, 'g', -1, 64) + "MiB"
	case f.kind == size && n >= kiB:
		return strconv.FormatFloat(n/kiB, 'g', -1, 64) + "KiB"
	}
	return strconv.FormatFloat(n, 'f', -1, 64)
}

func parseSize(s string) (float64, bool) {
	for _, u := range units {
		digits, ok := strings.CutSuffix(s, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
		bytes := n * u.bytes
		return bytes, err == nil && bytes == math.Trunc(bytes)
	}
	return 0, false
}

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

// valueKind is the syntax of a field's value.
type valueKind int

const (
	stringKind     valueKind = iota
	sizeKind                 // "4MiB", "64KiB", "100B", or a number of bytes
	durationKind             // "50ms", "10m"; held in milliseconds
	integerKind              // a whole number
	numberKind               // any number
	stringListKind           // a list of strings
)

// kindNames are the kinds in error messages.
var kindNames = [...]string{
	stringKind:     "a string",
	sizeKind:       `a size such as "4MiB"`,
	durationKind:   `a time such as "50ms" or "10m"`,
	integerKind:    "a whole number",
	numberKind:     "a number",
	stringListKind: "a list of strings",
}

const (
	kiB   = 1 << 10
	miB   = 1 << 20
	dayMS = 24 * 3600e3
)

// sizeUnits are the suffixes of a size. B comes last, as it is a suffix of all others.
var sizeUnits = []struct {
	suffix string
	bytes  float64
}{{"KiB", kiB}, {"MiB", miB}, {"kB", 1e3}, {"MB", 1e6}, {"B", 1}}

// parseValue stores a field's value in v, or returns what is wrong with it.
func (f *fieldSchema) parseValue(v *blockValues, value cty.Value, subject hcl.Range) *hcl.Diagnostic {
	if value.IsNull() || !value.IsKnown() {
		return diagnosticf(subject, "%s has no value", f.name)
	}
	switch f.kind {
	case stringKind:
		return f.parseString(v, value, subject)
	case stringListKind:
		return f.parseStringList(v, value, subject)
	}
	n, ok := f.parseNumber(value)
	if !ok {
		return f.wrongKind(subject)
	}
	if n < f.min || n > f.max {
		return diagnosticf(subject, "%s must be from %s to %s", f.name, f.formatBound(f.min), f.formatBound(f.max))
	}
	v.numbers[f.name] = n
	return nil
}

func (f *fieldSchema) wrongKind(subject hcl.Range) *hcl.Diagnostic {
	return diagnosticf(subject, "%s must be %s", f.name, kindNames[f.kind])
}

func (f *fieldSchema) parseString(v *blockValues, value cty.Value, subject hcl.Range) *hcl.Diagnostic {
	if value.Type() != cty.String {
		return f.wrongKind(subject)
	}
	s := value.AsString()
	v.strings[f.name] = s
	if s == "" {
		return diagnosticf(subject, "%s is empty", f.name)
	}
	isPath := f.name == "directory" || f.name == "socket"
	if isPath && !filepath.IsAbs(s) {
		return diagnosticf(subject, "%s must be an absolute path, not %q", f.name, s)
	}
	return nil
}

func (f *fieldSchema) parseStringList(v *blockValues, value cty.Value, subject hcl.Range) *hcl.Diagnostic {
	if !value.Type().IsTupleType() && !value.Type().IsListType() {
		return f.wrongKind(subject)
	}
	v.lists[f.name] = []string{}
	for it := value.ElementIterator(); it.Next(); {
		_, element := it.Element()
		if element.Type() != cty.String || element.IsNull() || !element.IsKnown() {
			return f.wrongKind(subject)
		}
		v.lists[f.name] = append(v.lists[f.name], element.AsString())
	}
	return nil
}

// parseNumber returns a size in bytes, a duration in milliseconds, or a number, and whether the value is of the field's
// kind.
func (f *fieldSchema) parseNumber(value cty.Value) (float64, bool) {
	switch {
	case f.kind == durationKind && value.Type() == cty.String:
		d, err := time.ParseDuration(value.AsString())
		return float64(d) / float64(time.Millisecond), err == nil
	case f.kind == sizeKind && value.Type() == cty.String:
		return parseSize(value.AsString())
	case f.kind != durationKind && value.Type() == cty.Number:
		n, _ := value.AsBigFloat().Float64()
		return n, f.kind == numberKind || n == math.Trunc(n)
	}
	return 0, false
}

// formatBound formats a limit of the field in the syntax of the file.
func (f *fieldSchema) formatBound(n float64) string {
	switch {
	case f.kind == durationKind:
		return (time.Duration(n) * time.Millisecond).String()
	case f.kind == sizeKind && n >= miB:
		return strconv.FormatFloat(n/miB, 'g', -1, 64) + "MiB"
	case f.kind == sizeKind && n >= kiB:
		return strconv.FormatFloat(n/kiB, 'g', -1, 64) + "KiB"
	}
	return strconv.FormatFloat(n, 'f', -1, 64)
}

// parseSize returns the number of bytes that a size such as "4MiB" means, and whether it is a whole number.
func parseSize(s string) (float64, bool) {
	for _, unit := range sizeUnits {
		digits, ok := strings.CutSuffix(s, unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
		bytes := n * unit.bytes
		return bytes, err == nil && bytes == math.Trunc(bytes)
	}
	return 0, false
}

package operatorconfig

import (
	"errors"
	"fmt"
	"math"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
)

// kind tells how a value is written.
type kind int

const (
	text   kind = iota // "..."
	size               // "4MiB", "64KiB", "100B", or bytes as a number
	span               // "50ms", "10m"; held in ms
	whole              // a whole number
	number             // any number
	names              // a list of texts
)

var kindHelp = [...]string{text: "a text", size: `a size such as "4MiB"`, span: `a time such as "50ms" or "10m"`, whole: "a whole number", number: "a number",
	names: "a list of texts"}

// field is one name that a block may have.
type field struct {
	name               string
	kind               kind
	least, most, usual float64
	required           bool
	help               string
}

// block is what may stand in a block.
type block struct {
	label  string // what its label is; empty: it has none, and stands once
	fields []field
	blocks map[string]*block
}

// values are what a block says, the usual ones filled in.
type values struct {
	label string
	at    hcl.Range
	nums  map[string]float64
	texts map[string]string
	lists map[string][]string
	kids  map[string][]values
	set   map[string]hcl.Range // where a value stands
}

// complaint turns what is wrong into an error of one line each.
func complaint(diags hcl.Diagnostics) error {
	var lines []error
	for _, d := range diags {
		at := ""
		if d.Subject != nil {
			at = fmt.Sprintf("%s:%d:%d: ", d.Subject.Filename, d.Subject.Start.Line, d.Subject.Start.Column)
		}
		line := at + d.Summary
		if d.Detail != "" {
			line += ": " + d.Detail
		}
		lines = append(lines, errors.New(line))
	}
	return errors.Join(lines...)
}

func wrong(at hcl.Range, format string, args ...any) *hcl.Diagnostic {
	return &hcl.Diagnostic{Severity: hcl.DiagError, Summary: fmt.Sprintf(format, args...), Subject: &at}
}

// read reads a body against what may stand in it.
func read(body hcl.Body, b *block) (values, hcl.Diagnostics) {
	v := values{nums: map[string]float64{}, texts: map[string]string{}, lists: map[string][]string{}, kids: map[string][]values{},
		set: map[string]hcl.Range{}}
	schema := &hcl.BodySchema{}
	for _, f := range b.fields {
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: f.name, Required: f.required})
		v.nums[f.name] = f.usual
	}
	kinds := make([]string, 0, len(b.blocks))
	for name := range b.blocks {
		kinds = append(kinds, name)
	}
	slices.Sort(kinds)
	for _, name := range kinds {
		h := hcl.BlockHeaderSchema{Type: name}
		if label := b.blocks[name].label; label != "" {
			h.LabelNames = []string{label}
		}
		schema.Blocks = append(schema.Blocks, h)
	}
	content, diags := body.Content(schema)
	for _, f := range b.fields {
		a := content.Attributes[f.name]
		if a == nil {
			continue
		}
		v.set[f.name] = a.Expr.Range()
		x, more := a.Expr.Value(nil)
		if diags = append(diags, more...); more.HasErrors() {
			continue
		}
		if d := f.take(&v, x, a.Expr.Range()); d != nil {
			diags = append(diags, d)
		}
	}
	for _, k := range content.Blocks {
		inner, more := read(k.Body, b.blocks[k.Type])
		inner.at = k.DefRange
		if diags = append(diags, more...); len(k.Labels) > 0 {
			inner.label = k.Labels[0]
		}
		if slices.ContainsFunc(v.kids[k.Type], func(o values) bool { return o.label == inner.label }) {
			diags = append(diags, wrong(k.DefRange, "block %s stands here a second time", strings.TrimSpace(k.Type+" "+inner.label)))
			continue
		}
		v.kids[k.Type] = append(v.kids[k.Type], inner)
	}
	return v, diags
}

// take reads one value.
func (f *field) take(v *values, x cty.Value, at hcl.Range) *hcl.Diagnostic {
	if x.IsNull() || !x.IsKnown() {
		return wrong(at, "%s has no value", f.name)
	}
	n, ok := 0.0, false
	switch {
	case f.kind == text && x.Type() == cty.String:
		if v.texts[f.name] = x.AsString(); v.texts[f.name] == "" {
			return wrong(at, "%s is empty", f.name)
		}
		if (f.name == "directory" || f.name == "socket") && !filepath.IsAbs(v.texts[f.name]) {
			return wrong(at, "%s must be an absolute path, not %q", f.name, v.texts[f.name])
		}
		return nil
	case f.kind == names && (x.Type().IsTupleType() || x.Type().IsListType()):
		v.lists[f.name] = []string{}
		for it := x.ElementIterator(); it.Next(); {
			_, e := it.Element()
			if e.Type() != cty.String || e.IsNull() || !e.IsKnown() {
				return wrong(at, "%s must be %s", f.name, kindHelp[f.kind])
			}
			v.lists[f.name] = append(v.lists[f.name], e.AsString())
		}
		return nil
	case f.kind == span && x.Type() == cty.String:
		d, err := time.ParseDuration(x.AsString())
		n, ok = float64(d)/float64(time.Millisecond), err == nil
	case f.kind == size && x.Type() == cty.String:
		n, ok = parseSize(x.AsString())
	case f.kind != text && f.kind != span && f.kind != names && x.Type() == cty.Number:
		n, _ = x.AsBigFloat().Float64()
		ok = f.kind == number || n == math.Trunc(n)
	}
	if !ok {
		return wrong(at, "%s must be %s", f.name, kindHelp[f.kind])
	}
	if n < f.least || n > f.most {
		return wrong(at, "%s must be from %s to %s", f.name, f.show(f.least), f.show(f.most))
	}
	v.nums[f.name] = n
	return nil
}

func (f *field) show(n float64) string {
	switch {
	case f.kind == span:
		return (time.Duration(n) * time.Millisecond).String()
	case f.kind == size && n >= miB:
		return strconv.FormatFloat(n/miB, 'g', -1, 64) + "MiB"
	case f.kind == size && n >= kiB:
		return strconv.FormatFloat(n/kiB, 'g', -1, 64) + "KiB"
	}
	return strconv.FormatFloat(n, 'f', -1, 64)
}

var units = []struct {
	name  string
	bytes float64
}{{"KiB", kiB}, {"MiB", miB}, {"kB", 1e3}, {"MB", 1e6}, {"B", 1}}

func parseSize(s string) (float64, bool) {
	for _, u := range units {
		if number, ok := strings.CutSuffix(s, u.name); ok {
			n, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
			return n * u.bytes, err == nil && n*u.bytes == math.Trunc(n*u.bytes)
		}
	}
	return 0, false
}

package operatorconfig

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
)

// field is one attribute that a block may have.
type field struct {
	name            string
	was             string // its name of before, which goes on working; empty: none
	kind            kind
	min, max, usual float64
	required        bool
	help            string
}

// block is what may stand in a block.
type block struct {
	was    string // its name of before, which goes on working; empty: none
	label  string // what its label is; empty: it has none, and stands once
	fields []field
	blocks map[string]*block
}

// values are what a block says, the usual ones filled in.
type values struct {
	label      string
	at         hcl.Range
	nums       map[string]float64
	texts      map[string]string
	lists      map[string][]string
	blocks     map[string][]values
	set        map[string]hcl.Range // where a value stands
	deprecated []string             // names of before that stand in the block itself
}

func newValues(b *block) values {
	v := values{nums: map[string]float64{}, texts: map[string]string{}, lists: map[string][]string{}, blocks: map[string][]values{},
		set: map[string]hcl.Range{}}
	for _, f := range b.fields {
		v.nums[f.name] = f.usual
	}
	return v
}

// only returns the block of a name that stands once, if it is there.
func (v *values) only(name string) (values, bool) {
	list := v.blocks[name]
	if len(list) == 0 {
		return values{}, false
	}
	return list[0], true
}

// allDeprecated returns the names of before in a block and in all within it, each once.
func (v *values) allDeprecated() []string {
	list := slices.Clone(v.deprecated)
	for _, name := range slices.Sorted(maps.Keys(v.blocks)) {
		for k := range v.blocks[name] {
			list = append(list, v.blocks[name][k].allDeprecated()...)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// deprecation is how a name of before is told.
func deprecation(was, now string) string { return fmt.Sprintf("%s (now %s)", was, now) }

// errorOf turns diagnostics into an error of one line each.
func errorOf(diags hcl.Diagnostics) error {
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

func complaint(at hcl.Range, format string, args ...any) *hcl.Diagnostic {
	return &hcl.Diagnostic{Severity: hcl.DiagError, Summary: fmt.Sprintf(format, args...), Subject: &at}
}

// schema is what the HCL library is to accept in a block.
func (b *block) schema() *hcl.BodySchema {
	schema := &hcl.BodySchema{}
	for _, f := range b.fields {
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: f.name, Required: f.required})
		if f.was != "" {
			schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: f.was})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.blocks)) {
		inner := b.blocks[name]
		for _, kind := range []string{name, inner.was} {
			if kind == "" {
				continue
			}
			header := hcl.BlockHeaderSchema{Type: kind}
			if inner.label != "" {
				header.LabelNames = []string{inner.label}
			}
			schema.Blocks = append(schema.Blocks, header)
		}
	}
	return schema
}

// today returns the name and the form of an inner block that may stand there under its name of before.
func (b *block) today(kind string) (string, *block) {
	if inner := b.blocks[kind]; inner != nil {
		return kind, inner
	}
	for name, inner := range b.blocks {
		if inner.was == kind {
			return name, inner
		}
	}
	return kind, nil // the schema lets none of these through
}

// read reads a body against what may stand in it.
func read(body hcl.Body, b *block) (values, hcl.Diagnostics) {
	v := newValues(b)
	content, diags := body.Content(b.schema())
	for k := range b.fields {
		diags = append(diags, v.readField(&b.fields[k], content.Attributes)...)
	}
	for _, inner := range content.Blocks {
		diags = append(diags, v.readBlock(b, inner)...)
	}
	return v, diags
}

// readField reads a field, under its name of today or of before.
func (v *values) readField(f *field, attributes hcl.Attributes) hcl.Diagnostics {
	a, old := attributes[f.name], attributes[f.was]
	if a != nil && old != nil {
		return hcl.Diagnostics{complaint(old.Range, "%s is the former name of %s, which stands here, too", f.was, f.name)}
	}
	if old != nil {
		v.deprecated = append(v.deprecated, deprecation(f.was, f.name))
		a = old
	}
	if a == nil {
		return nil
	}
	v.set[f.name] = a.Expr.Range()
	x, diags := a.Expr.Value(nil)
	if diags.HasErrors() {
		return diags
	}
	if d := f.take(v, x, a.Expr.Range()); d != nil {
		diags = append(diags, d)
	}
	return diags
}

// readBlock reads an inner block, under its name of today or of before.
func (v *values) readBlock(b *block, in *hcl.Block) hcl.Diagnostics {
	name, form := b.today(in.Type)
	if name != in.Type {
		v.deprecated = append(v.deprecated, deprecation(in.Type, name))
	}
	inner, diags := read(in.Body, form)
	inner.at = in.DefRange
	if len(in.Labels) > 0 {
		inner.label = in.Labels[0]
	}
	twice := slices.ContainsFunc(v.blocks[name], func(o values) bool { return o.label == inner.label })
	if twice {
		title := strings.TrimSpace(name + " " + inner.label)
		return append(diags, complaint(in.DefRange, "block %s stands here a second time", title))
	}
	v.blocks[name] = append(v.blocks[name], inner)
	return diags
}

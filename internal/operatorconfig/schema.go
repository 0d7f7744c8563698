package operatorconfig

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
)

// fieldSchema describes one attribute of a block.
type fieldSchema struct {
	name       string
	formerName string // still accepted; empty: none
	kind       valueKind
	// min and max limit a number; defaultValue is the number of a field that is not set.
	min, max, defaultValue float64
	required               bool
	help                   string
}

// blockSchema describes a block.
type blockSchema struct {
	formerName string // still accepted; empty: none
	label      string // meaning of the block's label; empty: the block has no label and occurs at most once
	fields     []fieldSchema
	blocks     map[string]*blockSchema
}

// blockValues holds the values of one block by their current names. Numbers that the file does not set have their
// default value; other fields that are not set are missing.
type blockValues struct {
	label      string
	header     hcl.Range
	numbers    map[string]float64
	strings    map[string]string
	lists      map[string][]string
	blocks     map[string][]blockValues
	ranges     map[string]hcl.Range // position of each value that is set
	deprecated []string             // former names used in the block itself
}

func newBlockValues(schema *blockSchema) blockValues {
	v := blockValues{
		numbers: map[string]float64{},
		strings: map[string]string{},
		lists:   map[string][]string{},
		blocks:  map[string][]blockValues{},
		ranges:  map[string]hcl.Range{},
	}
	for _, f := range schema.fields {
		v.numbers[f.name] = f.defaultValue
	}
	return v
}

// single returns the inner block of a name that occurs at most once, and whether it is there.
func (v *blockValues) single(name string) (blockValues, bool) {
	list := v.blocks[name]
	if len(list) == 0 {
		return blockValues{}, false
	}
	return list[0], true
}

// allDeprecated returns the former names used in a block and its inner blocks, sorted and without duplicates.
func (v *blockValues) allDeprecated() []string {
	list := slices.Clone(v.deprecated)
	for _, name := range slices.Sorted(maps.Keys(v.blocks)) {
		for k := range v.blocks[name] {
			list = append(list, v.blocks[name][k].allDeprecated()...)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// deprecation formats an entry of File.Deprecated.
func deprecation(former, current string) string { return fmt.Sprintf("%s (now %s)", former, current) }

// joinDiagnostics returns an error with one line for each diagnostic.
func joinDiagnostics(diags hcl.Diagnostics) error {
	var lines []error
	for _, d := range diags {
		position := ""
		if d.Subject != nil {
			position = fmt.Sprintf("%s:%d:%d: ", d.Subject.Filename, d.Subject.Start.Line, d.Subject.Start.Column)
		}
		line := position + d.Summary
		if d.Detail != "" {
			line += ": " + d.Detail
		}
		lines = append(lines, errors.New(line))
	}
	return errors.Join(lines...)
}

// diagnosticf returns an error diagnostic about a range of the file.
func diagnosticf(subject hcl.Range, format string, args ...any) *hcl.Diagnostic {
	return &hcl.Diagnostic{Severity: hcl.DiagError, Summary: fmt.Sprintf(format, args...), Subject: &subject}
}

// bodySchema returns the HCL library's schema of a block, with current and former names.
func (b *blockSchema) bodySchema() *hcl.BodySchema {
	schema := &hcl.BodySchema{}
	for _, f := range b.fields {
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: f.name, Required: f.required})
		if f.formerName != "" {
			schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: f.formerName})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.blocks)) {
		inner := b.blocks[name]
		for _, blockType := range []string{name, inner.formerName} {
			if blockType == "" {
				continue
			}
			header := hcl.BlockHeaderSchema{Type: blockType}
			if inner.label != "" {
				header.LabelNames = []string{inner.label}
			}
			schema.Blocks = append(schema.Blocks, header)
		}
	}
	return schema
}

// innerBlock returns the current name and the schema of an inner block, given its current or former name.
func (b *blockSchema) innerBlock(blockType string) (string, *blockSchema) {
	if inner := b.blocks[blockType]; inner != nil {
		return blockType, inner
	}
	for name, inner := range b.blocks {
		if inner.formerName == blockType {
			return name, inner
		}
	}
	return blockType, nil // unreachable: bodySchema admits no other name
}

// parseBody reads the fields and inner blocks of a body.
func parseBody(body hcl.Body, schema *blockSchema) (blockValues, hcl.Diagnostics) {
	v := newBlockValues(schema)
	content, diags := body.Content(schema.bodySchema())
	for k := range schema.fields {
		diags = append(diags, v.readField(&schema.fields[k], content.Attributes)...)
	}
	for _, inner := range content.Blocks {
		diags = append(diags, v.readBlock(schema, inner)...)
	}
	return v, diags
}

// readField reads a field under its current or former name, if it is set.
func (v *blockValues) readField(f *fieldSchema, attributes hcl.Attributes) hcl.Diagnostics {
	attribute, former := attributes[f.name], attributes[f.formerName]
	if attribute != nil && former != nil {
		return hcl.Diagnostics{diagnosticf(former.Range, "%s is the former name of %s, which is also set",
			f.formerName, f.name)}
	}
	if former != nil {
		v.deprecated = append(v.deprecated, deprecation(f.formerName, f.name))
		attribute = former
	}
	if attribute == nil {
		return nil
	}
	v.ranges[f.name] = attribute.Expr.Range()
	value, diags := attribute.Expr.Value(nil)
	if diags.HasErrors() {
		return diags
	}
	if d := f.parseValue(v, value, attribute.Expr.Range()); d != nil {
		diags = append(diags, d)
	}
	return diags
}

// readBlock reads an inner block under its current or former name.
func (v *blockValues) readBlock(outer *blockSchema, block *hcl.Block) hcl.Diagnostics {
	name, schema := outer.innerBlock(block.Type)
	if name != block.Type {
		v.deprecated = append(v.deprecated, deprecation(block.Type, name))
	}
	inner, diags := parseBody(block.Body, schema)
	inner.header = block.DefRange
	if len(block.Labels) > 0 {
		inner.label = block.Labels[0]
	}
	duplicate := slices.ContainsFunc(v.blocks[name], func(other blockValues) bool { return other.label == inner.label })
	if duplicate {
		title := strings.TrimSpace(name + " " + inner.label)
		return append(diags, diagnosticf(block.DefRange, "duplicate block %s", title))
	}
	v.blocks[name] = append(v.blocks[name], inner)
	return diags
}

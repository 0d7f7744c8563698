// Package operatorconfig reads the operators' file, which holds the settings of an installation beyond the platform's
// configuration. A file with an error is rejected as a whole; each error names file, line and column. The package only
// holds the values. Former names of blocks, fields and values still work; File.Deprecated lists those that a file uses.
package operatorconfig

import (
	"fmt"
	"os"
	"slices"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// PathVariable is the environment variable with the path of the operators' file; the flag --file overrides it.
const PathVariable = "LIFTSHIFT_FILE"

// File holds the settings of the operators' file. A block that the file lacks is nil, and its feature is off.
type File struct {
	Path          string
	Store         *Store
	Quotas        *Quotas
	Cluster       *Cluster
	Handoff       *Handoff
	Locality      *Locality
	ControlSocket string   // path of the control socket; empty: none
	Deprecated    []string // former names that the file uses, each with its current name
}

// controlSchema describes the block control.
var controlSchema = &blockSchema{fields: []fieldSchema{
	{name: "socket", kind: stringKind, required: true, help: "path of a Unix socket that only its owner may open"},
}}

// fileSchema describes the top level of the file.
var fileSchema = &blockSchema{blocks: map[string]*blockSchema{
	"store":   storeSchema,
	"quotas":  quotasSchema,
	"cluster": clusterSchema,
	"handoff": handoffSchema,
	"zones":   zonesSchema,
	"control": controlSchema,
}}

// Read reads the file at a path. Its error has one line for each problem found.
func Read(path string) (*File, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operators' file: %w", err)
	}
	return Parse(src, path)
}

// Parse parses the text of a file. The path only serves for error messages and File.Path.
func Parse(src []byte, path string) (*File, error) {
	parsed, diags := hclsyntax.ParseConfig(src, path, hcl.InitialPos)
	if diags.HasErrors() {
		return nil, joinDiagnostics(diags)
	}
	body, diags := parseBody(parsed.Body, fileSchema)
	if diags.HasErrors() {
		return nil, joinDiagnostics(diags)
	}
	f := &File{Path: path, Deprecated: body.allDeprecated()}
	if diags = f.fill(body); diags.HasErrors() {
		return nil, joinDiagnostics(diags)
	}
	slices.Sort(f.Deprecated)
	f.Deprecated = slices.Compact(f.Deprecated)
	return f, nil
}

// fill sets the blocks of f from a parsed file. It stops at the first block with an error.
func (f *File) fill(body blockValues) (diags hcl.Diagnostics) {
	if b, ok := body.single("store"); ok {
		f.Store = newStore(b)
	}
	if b, ok := body.single("control"); ok {
		f.ControlSocket = b.strings["socket"]
	}
	if b, ok := body.single("quotas"); ok {
		if f.Quotas, diags = newQuotas(b); diags.HasErrors() {
			return diags
		}
		f.Deprecated = append(f.Deprecated, f.Quotas.deprecated...)
	}
	if b, ok := body.single("cluster"); ok {
		if f.Cluster, diags = newCluster(b, f.Store != nil); diags.HasErrors() {
			return diags
		}
	}
	if b, ok := body.single("handoff"); ok {
		hasConsensus := f.Cluster != nil && len(f.Cluster.Founders) > 0
		if f.Handoff, diags = newHandoff(b, hasConsensus, f.Store != nil); diags.HasErrors() {
			return diags
		}
		f.Cluster.Consensus.Copies = f.Handoff.Copies
		f.Deprecated = append(f.Deprecated, f.Handoff.deprecated...)
	}
	if b, ok := body.single("zones"); ok {
		f.Locality, diags = newLocality(b, f.Cluster)
	}
	return diags
}

// ChangesNeedingRestart returns the names of those settings that differ in next and only take effect at a restart.
func (f *File) ChangesNeedingRestart(next *File) (names []string) {
	add := func(name string, differs bool) {
		if differs {
			names = append(names, name)
		}
	}
	if (f.Store == nil) != (next.Store == nil) {
		names = append(names, "store")
	} else {
		add("store.directory, segment or lag", f.Store != nil && !f.Store.sameFiles(next.Store))
	}
	add("control.socket", f.ControlSocket != next.ControlSocket)
	add("quotas: which teams there are, or the attribution", blockDiffers(f.Quotas, next.Quotas, (*Quotas).SameTree))
	add("cluster", blockDiffers(f.Cluster, next.Cluster, (*Cluster).Equal))
	add("handoff", blockDiffers(f.Handoff, next.Handoff, (*Handoff).Equal))
	add("zones", blockDiffers(f.Locality, next.Locality, (*Locality).Equal))
	return names
}

// blockDiffers reports whether exactly one of two blocks is missing, or both are present and equal reports false.
func blockDiffers[Block any](a, b *Block, equal func(a, b *Block) bool) bool {
	if a == nil || b == nil {
		return (a == nil) != (b == nil)
	}
	return !equal(a, b)
}

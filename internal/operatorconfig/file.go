// Package operatorconfig reads the operators' own file: what this installation wants beyond the platform's configuration. The file is
// taken whole or not at all; each complaint names file, line and column. The package holds values and decides nothing. Names of before
// go on working; File.Deprecated lists those that a file uses.
package operatorconfig

import (
	"fmt"
	"os"
	"slices"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// PathVariable is the environment variable that names the file where no flag does.
const PathVariable = "LIFTSHIFT_FILE"

// File is what the operators' file says. Without one, all is off.
type File struct {
	Path       string
	Store      *Store
	Quotas     *Quotas
	Cluster    *Cluster
	Handoff    *Handoff
	Locality   *Locality
	Control    string   // path of the control socket; empty: none
	Deprecated []string // names of before that the file uses, each with its new name
}

// controlBlock is what may stand in the block control.
var controlBlock = &block{fields: []field{
	{name: "socket", kind: text, required: true, help: "path of a Unix socket, for its owner alone"},
}}

// fileBlock is what may stand in the file.
var fileBlock = &block{blocks: map[string]*block{
	"store":   storeBlock,
	"quotas":  quotasBlock,
	"cluster": clusterBlock,
	"handoff": handoffBlock,
	"zones":   zonesBlock,
	"control": controlBlock,
}}

// Read reads the file at a path. The error has a line for each complaint.
func Read(path string) (*File, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operators' file: %w", err)
	}
	return Parse(src, path)
}

// Parse reads a file's text.
func Parse(src []byte, path string) (*File, error) {
	parsed, diags := hclsyntax.ParseConfig(src, path, hcl.InitialPos)
	if diags.HasErrors() {
		return nil, errorOf(diags)
	}
	body, diags := read(parsed.Body, fileBlock)
	if diags.HasErrors() {
		return nil, errorOf(diags)
	}
	f := &File{Path: path, Deprecated: body.allDeprecated()}
	if diags = f.fill(body); diags.HasErrors() {
		return nil, errorOf(diags)
	}
	slices.Sort(f.Deprecated)
	f.Deprecated = slices.Compact(f.Deprecated)
	return f, nil
}

// fill takes over the blocks of a file, up to the first that does not fit.
func (f *File) fill(body values) (diags hcl.Diagnostics) {
	if b, ok := body.only("store"); ok {
		f.Store = newStore(b)
	}
	if b, ok := body.only("control"); ok {
		f.Control = b.texts["socket"]
	}
	if b, ok := body.only("quotas"); ok {
		if f.Quotas, diags = newQuotas(b); diags.HasErrors() {
			return diags
		}
		f.Deprecated = append(f.Deprecated, f.Quotas.deprecated...)
	}
	if b, ok := body.only("cluster"); ok {
		if f.Cluster, diags = newCluster(b, f.Store != nil); diags.HasErrors() {
			return diags
		}
	}
	if b, ok := body.only("handoff"); ok {
		hasConsensus := f.Cluster != nil && len(f.Cluster.Founders) > 0
		if f.Handoff, diags = newHandoff(b, hasConsensus, f.Store != nil); diags.HasErrors() {
			return diags
		}
		f.Cluster.Consensus.Copies = f.Handoff.Copies
		f.Deprecated = append(f.Deprecated, f.Handoff.deprecated...)
	}
	if b, ok := body.only("zones"); ok {
		f.Locality, diags = newLocality(b, f.Cluster)
	}
	return diags
}

// Differs names what another file has otherwise and only a restart heeds.
func (f *File) Differs(next *File) (names []string) {
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
	add("control.socket", f.Control != next.Control)
	add("quotas: which teams there are, or the attribution", differ(f.Quotas, next.Quotas, (*Quotas).SameTree))
	add("cluster", differ(f.Cluster, next.Cluster, (*Cluster).Same))
	add("handoff", differ(f.Handoff, next.Handoff, (*Handoff).Same))
	add("zones", differ(f.Locality, next.Locality, (*Locality).Same))
	return names
}

// differ tells whether one of two blocks is missing, or both are there and are not the same.
func differ[Block any](a, b *Block, same func(a, b *Block) bool) bool {
	if a == nil || b == nil {
		return (a == nil) != (b == nil)
	}
	return !same(a, b)
}

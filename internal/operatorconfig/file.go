// Package operatorconfig reads the operators' own file: what this installation wants beyond the platform's configuration. It is
// taken whole or not at all; each complaint names file, line and column. It holds values and decides nothing.
package operatorconfig

import (
	"fmt"
	"os"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// File is what the operators' file says. Without one, all is off.
type File struct {
	Path     string
	Store    *Store
	Quotas   *Quotas
	Cluster  *Cluster
	Handoff  *Handoff
	Locality *Locality
	Control  string // path of the control socket; empty: none
}

// Store is the block store.
type Store struct {
	Directory      string
	SegmentBytes   int64
	FlushDelay     time.Duration
	RememberMS     float64 // for which an idempotency key is kept past its window
	MaxAnswerBytes int     // longer answers are not kept
	MaxRecords     int     // of keys, and of requests
}

// Default is where the file is looked for if nothing else is said: nowhere, unless this names a path.
const PathVariable = "LIFTSHIFT_FILE"

const (
	kiB = 1 << 10
	miB = 1 << 20
)

// storeFields are the names of the block store, with their bounds and what holds where they are missing.
var storeFields = []field{
	{name: "directory", kind: text, required: true, help: "folder of the store; no other process may use it"},
	{name: "segment", kind: size, least: 64 * kiB, most: 256 * miB, usual: 4 * miB, help: "bytes of one log file"},
	{name: "lag", kind: span, least: 1, most: 1000, usual: 50, help: "longest time that a record which no shot waits for stays unwritten"},
	{name: "remember", kind: span, least: 1000, most: 7 * 24 * 3600e3, usual: 600e3, help: "how long a mark is kept past the window of its offering"},
	{name: "keep_answers", kind: size, least: 0, most: 48 * kiB, usual: 4 * kiB, help: "longest answer that is kept with its mark"},
	{name: "most_kept", kind: whole, least: 1000, most: 10e6, usual: 200e3, help: "marks, and searches, that are kept at most"},
}

// file is what may stand in the file.
var file = &block{blocks: map[string]*block{"store": {fields: storeFields}, "budgets": budgetsBlock, "fleet": fleetBlock, "estate": estateBlock, "zones": zonesBlock,
	"control": {fields: []field{{name: "socket", kind: text, required: true, help: "path of a Unix socket, for its owner alone"}}}}}

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
		return nil, complaint(diags)
	}
	body, diags := read(parsed.Body, file)
	if diags.HasErrors() {
		return nil, complaint(diags)
	}
	f := &File{Path: path}
	for _, s := range body.kids["store"] {
		f.Store = &Store{Directory: s.texts["directory"], SegmentBytes: int64(s.nums["segment"]),
			FlushDelay: time.Duration(s.nums["lag"] * float64(time.Millisecond)),
			RememberMS: s.nums["remember"], MaxAnswerBytes: int(s.nums["keep_answers"]), MaxRecords: int(s.nums["most_kept"])}
	}
	for _, c := range body.kids["control"] {
		f.Control = c.texts["socket"]
	}
	for _, b := range body.kids["budgets"] {
		if f.Quotas, diags = budgetsOf(b); diags.HasErrors() {
			return nil, complaint(diags)
		}
	}
	for _, b := range body.kids["fleet"] {
		if f.Cluster, diags = fleetOf(b, f.Store != nil); diags.HasErrors() {
			return nil, complaint(diags)
		}
	}
	for _, b := range body.kids["estate"] {
		if f.Handoff, diags = estateOf(b, f.Cluster != nil && len(f.Cluster.Founders) > 0, f.Store != nil); diags.HasErrors() {
			return nil, complaint(diags)
		}
		f.Cluster.Consensus.Copies = f.Handoff.Copies
	}
	for _, b := range body.kids["zones"] {
		if f.Locality, diags = zonesOf(b, f.Cluster); diags.HasErrors() {
			return nil, complaint(diags)
		}
	}
	return f, nil
}

// Differs names what another file has otherwise and only a restart heeds.
func (f *File) Differs(next *File) (names []string) {
	switch a, b := f.Store, next.Store; {
	case (a == nil) != (b == nil):
		names = append(names, "store")
	case a != nil && (a.Directory != b.Directory || a.SegmentBytes != b.SegmentBytes || a.FlushDelay != b.FlushDelay):
		names = append(names, "store.directory, segment or lag")
	}
	if f.Control != next.Control {
		names = append(names, "control.socket")
	}
	if (f.Quotas == nil) != (next.Quotas == nil) || f.Quotas != nil && !f.Quotas.SameTree(next.Quotas) {
		names = append(names, "budgets: which teams there are, or whose")
	}
	if (f.Cluster == nil) != (next.Cluster == nil) || f.Cluster != nil && !f.Cluster.Same(next.Cluster) {
		names = append(names, "fleet")
	}
	if (f.Handoff == nil) != (next.Handoff == nil) || f.Handoff != nil && !f.Handoff.Same(next.Handoff) {
		names = append(names, "estate")
	}
	if (f.Locality == nil) != (next.Locality == nil) || f.Locality != nil && !f.Locality.Same(next.Locality) {
		names = append(names, "zones")
	}
	return names
}

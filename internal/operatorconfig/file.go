// Package operatorconfig reads the operators' own file: what this installation wants beyond the platform's configuration. It is
// taken whole or not at all; each complaint names file, line and column. It holds values and decides nothing.
package operatorconfig

import (
	"fmt"
	"os"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"liftshift/scheduler"
)

// File is what the operators' file says. Without one, all is off.
type File struct {
	Path    string
	Store   *Store
	Budgets *Budgets
	Fleet   *Fleet
	Estate  *Estate
	Zones   *Zones
	Control string // path of the control socket; empty: none
}

// Store is the block store.
type Store struct {
	Directory string
	Segment   int64
	Lag       time.Duration
	Given     scheduler.Given // for the ledger: remember_ms, keep_answer, most_kept
}

// Default is where the file is looked for if nothing else is said: nowhere, unless this names a path.
const Default = "LIFTSHIFT_FILE"

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
		f.Store = &Store{Directory: s.texts["directory"], Segment: int64(s.nums["segment"]),
			Lag: time.Duration(s.nums["lag"] * float64(time.Millisecond)), Given: scheduler.Given{
				"remember_ms": s.nums["remember"], "keep_answer": s.nums["keep_answers"], "most_kept": s.nums["most_kept"]}}
	}
	for _, c := range body.kids["control"] {
		f.Control = c.texts["socket"]
	}
	for _, b := range body.kids["budgets"] {
		if f.Budgets, diags = budgetsOf(b); diags.HasErrors() {
			return nil, complaint(diags)
		}
	}
	for _, b := range body.kids["fleet"] {
		if f.Fleet, diags = fleetOf(b, f.Store != nil); diags.HasErrors() {
			return nil, complaint(diags)
		}
	}
	for _, b := range body.kids["estate"] {
		if f.Estate, diags = estateOf(b, f.Fleet != nil && len(f.Fleet.Founders) > 0, f.Store != nil); diags.HasErrors() {
			return nil, complaint(diags)
		}
		f.Fleet.Given["copies"] = float64(f.Estate.Copies)
	}
	for _, b := range body.kids["zones"] {
		if f.Zones, diags = zonesOf(b, f.Fleet); diags.HasErrors() {
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
	case a != nil && (a.Directory != b.Directory || a.Segment != b.Segment || a.Lag != b.Lag):
		names = append(names, "store.directory, segment or lag")
	}
	if f.Control != next.Control {
		names = append(names, "control.socket")
	}
	if (f.Budgets == nil) != (next.Budgets == nil) || f.Budgets != nil && !f.Budgets.SameTree(next.Budgets) {
		names = append(names, "budgets: which teams there are, or whose")
	}
	if (f.Fleet == nil) != (next.Fleet == nil) || f.Fleet != nil && !f.Fleet.Same(next.Fleet) {
		names = append(names, "fleet")
	}
	if (f.Estate == nil) != (next.Estate == nil) || f.Estate != nil && !f.Estate.Same(next.Estate) {
		names = append(names, "estate")
	}
	if (f.Zones == nil) != (next.Zones == nil) || f.Zones != nil && !f.Zones.Same(next.Zones) {
		names = append(names, "zones")
	}
	return names
}

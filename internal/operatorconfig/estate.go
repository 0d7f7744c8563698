package operatorconfig

import (
	"reflect"

	"github.com/hashicorp/hcl/v2"
)

// Handoff is the block estate.
type Handoff struct {
	CopyAfterMS         float64 // idempotent requests that take longer are copied
	AdoptAtOnce         int     // adopted requests in flight
	MaxAnswerBytes      int     // longer answers are not copied
	MaxCopies           int     // kept for other controllers
	DoubtMS             float64 // for which keys of a partition without a quorum are rejected
	SendWithoutReplicas bool    // go on where too few replicas can be reached
	WaitForOwnDisk      bool    // a shot waits for this controller's own disk, too
	CopiesOnDisk        bool    // holders answer once their copies last
	Copies              int
	AdoptClasses        []string
}

// estateBlock is what may stand in the block estate.
var estateBlock = &block{fields: []field{
	{name: "copies", kind: whole, least: 1, most: 3, usual: 2, help: "copies of open work that others keep; 1 needs 3 controllers, 2 need 5, 3 need 7"},
	{name: "condition", kind: text, help: "what must stand before a labelled or irreversible shot leaves: \"disk and holders\", \"holders\" or \"disk and holders' disks\", \"holders' disks\""},
	{name: "unreachable", kind: text, help: "where too few holders can be reached: \"deny\", or \"alone\": go on with what this controller has"},
	{name: "lag", kind: span, least: 0, most: 10e3, usual: 50, help: "redoable searches that take longer are copied; 0: none is"},
	{name: "adopt", kind: names, help: "redoable offerings that an heir runs again, within the ration"},
	{name: "doubt", kind: span, least: 0, most: 24 * 3600e3, help: "how long marks of a part that lost its holders beyond a quorum are denied, if longer than the longest window and hard limit"},
	{name: "adopt_at_once", kind: whole, least: 1, most: 10e3, usual: 64, help: "adopted searches in hand at a time"},
	{name: "keep_answers", kind: size, least: 0, most: 48 * kiB, usual: 4 * kiB, help: "longest answer that is copied"},
	{name: "most_kept", kind: whole, least: 1000, most: 10e6, usual: 200e3, help: "copies that are kept for others at most"},
}}

var conditions = map[string][2]bool{"": {true, false}, "disk and holders": {true, false}, "holders": {false, false},
	"disk and holders' disks": {true, true}, "holders' disks": {false, true}}

// estateOf reads the block estate and checks that its parts fit together.
func estateOf(v values, founders, store bool) (*Handoff, hcl.Diagnostics) {
	var diags hcl.Diagnostics
	e := &Handoff{Copies: int(v.nums["copies"]), AdoptClasses: v.lists["adopt"], CopyAfterMS: v.nums["lag"],
		AdoptAtOnce: int(v.nums["adopt_at_once"]), MaxAnswerBytes: int(v.nums["keep_answers"]), MaxCopies: int(v.nums["most_kept"]),
		DoubtMS: v.nums["doubt"], SendWithoutReplicas: v.texts["unreachable"] == "alone"}
	how, known := conditions[v.texts["condition"]]
	if e.WaitForOwnDisk, e.CopiesOnDisk = how[0], how[1]; !known {
		diags = append(diags, wrong(v.set["condition"], "condition must be \"disk and holders\", \"holders\", \"disk and holders' disks\" or \"holders' disks\""))
	}
	if u := v.texts["unreachable"]; u != "" && u != "deny" && u != "alone" {
		diags = append(diags, wrong(v.set["unreachable"], "unreachable must be \"deny\" or \"alone\""))
	}
	if !founders {
		diags = append(diags, wrong(v.at, "an estate needs a council: there is no block fleet with founders"))
	}
	if !store {
		diags = append(diags, wrong(v.at, "an estate needs a block store"))
	}
	return e, diags
}

// Same tells whether two say the same.
func (e *Handoff) Same(o *Handoff) bool { return reflect.DeepEqual(e, o) }

package operatorconfig

import (
	"reflect"

	"github.com/hashicorp/hcl/v2"
)

// Handoff is the block handoff.
type Handoff struct {
	Copies              int      // of an open request that other controllers keep
	WaitForOwnDisk      bool     // an attempt waits for this controller's own disk, too
	CopiesOnDisk        bool     // replicas answer once their copies last
	AdoptClasses        []string // idempotent classes that a successor runs again
	CopyAfterMS         float64  // idempotent requests that take longer are copied
	AdoptAtOnce         int      // adopted requests in flight
	MaxAnswerBytes      int      // longer answers are not copied
	MaxCopies           int      // kept for other controllers
	DoubtMS             float64  // for which keys of a partition without a quorum are rejected
	SendWithoutReplicas bool     // go on where too few replicas can be reached

	deprecated []string
}

// handoffBlock is what may stand in the block handoff.
var handoffBlock = &block{was: "estate", fields: []field{
	{name: "copies", kind: whole, min: 1, max: 3, usual: 2, help: "copies of open requests that others keep; 1 needs 3 controllers, 2 need 5, 3 need 7"},
	{name: "condition", kind: text, help: `what must be kept before a keyed or unsafe attempt leaves: "disk and replicas", "replicas", "disk and replicas' disks", "replicas' disks"`},
	{name: "unreachable", kind: text, help: `where too few replicas can be reached: "reject", or "alone": go on with what this controller has`},
	{name: "lag", kind: duration, min: 0, max: 10e3, usual: 50, help: "idempotent requests that take longer are copied; 0: none is"},
	{name: "adopt", kind: names, help: "idempotent classes that a successor runs again, within the retry budget"},
	{name: "doubt", kind: duration, min: 0, max: dayMS, help: "how long keys of a partition that lost its quorum are rejected, if longer than the longest window and deadline"},
	{name: "adopt_at_once", kind: whole, min: 1, max: 10e3, usual: 64, help: "adopted requests in flight at a time"},
	{name: "keep_answers", kind: size, min: 0, max: 48 * kiB, usual: 4 * kiB, help: "longest answer that is copied"},
	{name: "most_kept", kind: whole, min: 1000, max: 10e6, usual: 200e3, help: "copies that are kept for others at most"},
}}

// condition says what must be kept before a keyed or unsafe attempt leaves.
type condition struct{ ownDisk, replicaDisks bool }

var conditions = map[string]condition{
	"":                         {ownDisk: true},
	"disk and replicas":        {ownDisk: true},
	"replicas":                 {},
	"disk and replicas' disks": {ownDisk: true, replicaDisks: true},
	"replicas' disks":          {replicaDisks: true},
}

// deprecatedWords are values of before, with today's.
var deprecatedWords = map[string]string{
	"disk and holders":        "disk and replicas",
	"holders":                 "replicas",
	"disk and holders' disks": "disk and replicas' disks",
	"holders' disks":          "replicas' disks",
	"deny":                    "reject",
}

// newHandoff reads the block handoff and checks that its parts fit together.
func newHandoff(v values, hasConsensus, hasStore bool) (*Handoff, hcl.Diagnostics) {
	var diags hcl.Diagnostics
	h := &Handoff{Copies: int(v.nums["copies"]), AdoptClasses: v.lists["adopt"], CopyAfterMS: v.nums["lag"],
		AdoptAtOnce: int(v.nums["adopt_at_once"]), MaxAnswerBytes: int(v.nums["keep_answers"]), MaxCopies: int(v.nums["most_kept"]),
		DoubtMS: v.nums["doubt"]}
	c, known := conditions[h.word(v.texts["condition"])]
	h.WaitForOwnDisk, h.CopiesOnDisk = c.ownDisk, c.replicaDisks
	if !known {
		diags = append(diags, complaint(v.set["condition"],
			`condition must be "disk and replicas", "replicas", "disk and replicas' disks" or "replicas' disks"`))
	}
	switch h.word(v.texts["unreachable"]) {
	case "", "reject":
	case "alone":
		h.SendWithoutReplicas = true
	default:
		diags = append(diags, complaint(v.set["unreachable"], `unreachable must be "reject" or "alone"`))
	}
	if !hasConsensus {
		diags = append(diags, complaint(v.at, "a handoff needs a consensus group: there is no block cluster with founders"))
	}
	if !hasStore {
		diags = append(diags, complaint(v.at, "a handoff needs a block store"))
	}
	return h, diags
}

// word returns today's word for one of before, which is noted.
func (h *Handoff) word(word string) string {
	now, was := deprecatedWords[word]
	if !was {
		return word
	}
	h.deprecated = append(h.deprecated, deprecation(word, now))
	return now
}

// Same tells whether two say the same, in whatever words.
func (h *Handoff) Same(o *Handoff) bool {
	a, b := *h, *o
	a.deprecated, b.deprecated = nil, nil
	return reflect.DeepEqual(a, b)
}

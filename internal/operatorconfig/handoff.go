package operatorconfig

import (
	"reflect"

	"github.com/hashicorp/hcl/v2"
)

// Handoff holds the settings of the block handoff.
type Handoff struct {
	Copies               int      // copies of an open request that other controllers keep
	WaitForOwnDisk       bool     // an attempt also waits for this controller's own disk
	CopiesOnDisk         bool     // replicas acknowledge a copy only once it is on their disk
	AdoptClasses         []string // idempotent request classes that a successor runs again
	CopyAfterMS          float64  // idempotent requests that take longer are copied; 0: none are
	MaxAdoptionsInFlight int      // limit of adopted requests in flight
	MaxAnswerBytes       int      // longer answers are not copied
	MaxCopies            int      // limit of copies kept for other controllers
	QuorumLossMS         float64  // how long keys of a partition that lost its quorum are rejected
	SendWithoutReplicas  bool     // send attempts even where too few replicas can be reached

	deprecated []string
}

// handoffSchema describes the block handoff.
var handoffSchema = &blockSchema{formerName: "estate", fields: []fieldSchema{
	{name: "copies", kind: integerKind, min: 1, max: 3, defaultValue: 2,
		help: "copies of an open request that other controllers keep; 1 needs 3 controllers, 2 need 5, 3 need 7"},
	{name: "condition", kind: stringKind,
		help: "where a keyed or unsafe request must be stored before its attempt is sent: " +
			`"disk and replicas", "replicas", "disk and replicas' disks", "replicas' disks"`},
	{name: "unreachable", kind: stringKind,
		help: `what happens where too few replicas can be reached: "reject", or "alone": send without them`},
	{name: "lag", kind: durationKind, min: 0, max: 10e3, defaultValue: 50,
		help: "idempotent requests that take longer are copied; 0: none are"},
	{name: "adopt", kind: stringListKind,
		help: "idempotent request classes that a successor runs again, within the retry budget"},
	{name: "doubt", kind: durationKind, min: 0, max: dayMS,
		help: "how long keys of a partition that lost its quorum are rejected, " +
			"if longer than the longest window and deadline"},
	{name: "adopt_at_once", kind: integerKind, min: 1, max: 10e3, defaultValue: 64,
		help: "limit of adopted requests in flight"},
	{name: "keep_answers", kind: sizeKind, min: 0, max: 48 * kiB, defaultValue: 4 * kiB,
		help: "longest answer that is copied"},
	{name: "most_kept", kind: integerKind, min: 1000, max: 10e6, defaultValue: 200e3,
		help: "limit of copies kept for other controllers"},
}}

// condition says where a request must be stored before a keyed or unsafe attempt is sent
// in addition to the replicas' memory.
type condition struct{ ownDisk, replicaDisks bool }

// conditions maps the values of the field condition; the empty one is the default.
var conditions = map[string]condition{
	"":                         {ownDisk: true},
	"disk and replicas":        {ownDisk: true},
	"replicas":                 {},
	"disk and replicas' disks": {ownDisk: true, replicaDisks: true},
	"replicas' disks":          {replicaDisks: true},
}

// deprecatedWords maps former values of the block's fields to the current ones.
var deprecatedWords = map[string]string{
	"disk and holders":        "disk and replicas",
	"holders":                 "replicas",
	"disk and holders' disks": "disk and replicas' disks",
	"holders' disks":          "replicas' disks",
	"deny":                    "reject",
}

// newHandoff returns the settings of the block handoff after checking that the blocks it needs are there.
func newHandoff(v blockValues, hasConsensus, hasStore bool) (*Handoff, hcl.Diagnostics) {
	var diags hcl.Diagnostics
	h := &Handoff{
		Copies:               int(v.numbers["copies"]),
		AdoptClasses:         v.lists["adopt"],
		CopyAfterMS:          v.numbers["lag"],
		MaxAdoptionsInFlight: int(v.numbers["adopt_at_once"]),
		MaxAnswerBytes:       int(v.numbers["keep_answers"]),
		MaxCopies:            int(v.numbers["most_kept"]),
		QuorumLossMS:         v.numbers["doubt"],
	}
	c, known := conditions[h.currentWord(v.strings["condition"])]
	h.WaitForOwnDisk, h.CopiesOnDisk = c.ownDisk, c.replicaDisks
	if !known {
		diags = append(diags, diagnosticf(v.ranges["condition"],
			`condition must be "disk and replicas", "replicas", "disk and replicas' disks" or "replicas' disks"`))
	}
	switch h.currentWord(v.strings["unreachable"]) {
	case "", "reject":
	case "alone":
		h.SendWithoutReplicas = true
	default:
		diags = append(diags, diagnosticf(v.ranges["unreachable"], `unreachable must be "reject" or "alone"`))
	}
	if !hasConsensus {
		diags = append(diags, diagnosticf(v.header,
			"handoff needs a consensus group: there is no block cluster with founders"))
	}
	if !hasStore {
		diags = append(diags, diagnosticf(v.header, "handoff needs a block store"))
	}
	return h, diags
}

// currentWord returns the current form of a field's value. It records the use of a former one.
func (h *Handoff) currentWord(word string) string {
	current, isFormer := deprecatedWords[word]
	if !isFormer {
		return word
	}
	h.deprecated = append(h.deprecated, deprecation(word, current))
	return current
}

// Equal reports whether both blocks have the same settings, in current or former words.
func (h *Handoff) Equal(other *Handoff) bool {
	a, b := *h, *other
	a.deprecated, b.deprecated = nil, nil
	return reflect.DeepEqual(a, b)
}

package clustersim

import "fmt"

// ViolationKind is the invariant that a history broke.
type ViolationKind int

// The violations.
const (
	LeaseAfterLoss       ViolationKind = iota // a node acts on the lease of an incarnation that is declared lost
	VoterStopped                              // a voter stopped though its disk is sound
	NotConverged                              // views differ after the cluster is whole again
	NotLinearizable                           // the lease operations fit into no order
	InvalidMessage                            // a message can't be read
	RanTwice                                  // a request ran more than once
	ContradictoryAnswers                      // a client got more than one answer
	WithoutOutcome                            // a request has no answer, or nobody adopted it
	WrongOutcome                              // an answer does not agree with what ran
	InconsistentCounts                        // a node's counters do not add up
)

var violationNames = [...]string{"lease after loss", "voter stopped", "not converged", "not linearizable", "invalid message", "ran twice",
	"contradictory answers", "without outcome", "wrong outcome", "inconsistent counts"}

// String returns the name of the kind.
func (k ViolationKind) String() string { return violationNames[k] }

// Violation is one broken invariant of a history.
type Violation struct {
	Kind   ViolationKind
	Detail string
}

// String returns the detail.
func (v Violation) String() string { return v.Detail }

func violation(kind ViolationKind, format string, args ...any) Violation {
	return Violation{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

package clustersim

import "fmt"

// ViolationKind is the invariant that a history has violated.
type ViolationKind int

// The kinds of violations.
const (
	LeaseAfterLoss       ViolationKind = iota // a node holds the lease of an incarnation that is declared lost
	VoterStopped                              // a voter failed although its disk accepts writes
	NotConverged                              // the membership views have not converged after all faults were healed
	NotLinearizable                           // the lease operations are not linearizable
	InvalidMessage                            // a message can't be decoded
	RanTwice                                  // a request was executed more than once
	ContradictoryAnswers                      // a client got more than one answer to a request
	WithoutOutcome                            // a request was neither answered nor adopted
	WrongOutcome                              // an answer contradicts the executions of the request
	InconsistentCounts                        // the counters of a node do not add up
	SentWithoutClient                         // a successor sent a non-idempotent request, which its client may send again
)

var violationNames = [...]string{
	"lease after loss", "voter stopped", "not converged", "not linearizable", "invalid message", "ran twice",
	"contradictory answers", "without outcome", "wrong outcome", "inconsistent counts",
	"sent without client",
}

// String returns the name of the kind.
func (k ViolationKind) String() string { return violationNames[k] }

// Violation is a violated invariant, with a description of the objects that violate it.
type Violation struct {
	Kind   ViolationKind
	Detail string
}

// String returns the detail, which says more than the kind.
func (v Violation) String() string { return v.Detail }

// newViolation returns a violation whose detail is formatted as by fmt.Sprintf.
func newViolation(kind ViolationKind, format string, args ...any) Violation {
	return Violation{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

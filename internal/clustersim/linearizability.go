package clustersim

import (
	"fmt"
	"math"

	"github.com/anishathalye/porcupine"
)

// OperationKind is the outcome of an operation on an incarnation's lease.
type OperationKind int

// The outcomes of operations.
const (
	LeaseGranted OperationKind = iota // the lease was granted
	LeaseRefused                      // the lease was refused because the incarnation is declared lost
	LossDeclared                      // the incarnation was declared lost
)

var operationNames = [...]string{"granted", "refused", "declared"}

// String returns the name of the kind.
func (k OperationKind) String() string { return operationNames[k] }

// Operation is one operation on a lease of the consensus group. Its times are in milliseconds of true simulated time,
// not of a node's clock.
type Operation struct {
	Node                 int
	Kind                 OperationKind
	Member               string
	Incarnation          uint64
	CalledAt, ReturnedAt float64
}

// memberIncarnation identifies one incarnation of a member.
type memberIncarnation struct {
	member string
	number uint64
}

// String returns the member and its incarnation, separated by a slash.
func (i memberIncarnation) String() string { return fmt.Sprint(i.member, "/", i.number) }

// subject returns the incarnation whose lease the operation concerns.
func (o Operation) subject() memberIncarnation { return memberIncarnation{o.Member, o.Incarnation} }

// Linearizable reports whether the operations are linearizable: no lease is granted to an incarnation after it was
// declared lost, and none is refused as lost before. Pending declarations may have taken effect at any time since
// their call.
func Linearizable(completed, pending []Operation) bool {
	var operations []porcupine.Operation
	subjects := map[memberIncarnation]int{}
	add := func(operation Operation, returned int64) {
		subject, known := subjects[operation.subject()]
		if !known {
			subject = len(subjects)
			subjects[operation.subject()] = subject
		}
		operations = append(operations, porcupine.Operation{
			ClientId: operation.Node,
			Input:    subject,
			Output:   operation.Kind,
			Call:     microseconds(operation.CalledAt),
			Return:   returned,
		})
	}
	for _, operation := range completed {
		add(operation, microseconds(operation.ReturnedAt))
	}
	for _, operation := range pending {
		add(operation, math.MaxInt64)
	}
	return porcupine.CheckOperations(leaseModel(len(subjects)), operations)
}

// microseconds converts milliseconds to the whole microseconds that porcupine orders operations by.
func microseconds(ms float64) int64 { return int64(ms * 1000) }

// leaseModel returns the sequential specification of leases, partitioned by incarnation. The state of a partition is
// whether the incarnation is declared lost.
func leaseModel(subjects int) porcupine.Model {
	return porcupine.Model{
		Partition: func(operations []porcupine.Operation) [][]porcupine.Operation {
			parts := make([][]porcupine.Operation, subjects)
			for _, operation := range operations {
				parts[operation.Input.(int)] = append(parts[operation.Input.(int)], operation)
			}
			return parts
		},
		Init: func() any { return false },
		Step: func(state, _, output any) (bool, any) {
			lost := state.(bool)
			switch output.(OperationKind) {
			case LeaseGranted:
				return !lost, lost
			case LeaseRefused:
				return lost, lost
			default:
				return true, true
			}
		},
	}
}

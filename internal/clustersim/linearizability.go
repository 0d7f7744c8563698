package clustersim

import (
	"fmt"
	"math"

	"github.com/anishathalye/porcupine"
)

// OperationKind is what came of an operation on an incarnation's lease.
type OperationKind int

// The operations.
const (
	LeaseGranted OperationKind = iota // a lease was granted
	LeaseRefused                      // a lease was refused, because the incarnation is lost
	LossDeclared                      // the incarnation was declared lost
)

var operationNames = [...]string{"granted", "refused", "declared"}

// String returns the name of the kind.
func (k OperationKind) String() string { return operationNames[k] }

// Operation is one operation on the consensus group's leases and what came of it. Times are true ones.
type Operation struct {
	Node                 int
	Kind                 OperationKind
	Member               string
	Incarnation          uint64
	CalledAt, ReturnedAt float64
}

// incarnation is one run of a member.
type incarnation struct {
	member string
	number uint64
}

// String returns the member and its incarnation.
func (i incarnation) String() string { return fmt.Sprint(i.member, "/", i.number) }

func (o Operation) subject() incarnation { return incarnation{o.Member, o.Incarnation} }

// Linearizable reports whether there is an order in which all operations make sense: nothing is granted to an incarnation after it was
// declared lost, nor refused as lost before. Pending declarations may have taken effect at any time since their call.
func Linearizable(completed, pending []Operation) bool {
	var operations []porcupine.Operation
	subjects := map[incarnation]int{}
	add := func(o Operation, returned int64) {
		subject, known := subjects[o.subject()]
		if !known {
			subject = len(subjects)
			subjects[o.subject()] = subject
		}
		operations = append(operations, porcupine.Operation{ClientId: o.Node, Input: subject, Output: o.Kind, Call: microseconds(o.CalledAt), Return: returned})
	}
	for _, o := range completed {
		add(o, microseconds(o.ReturnedAt))
	}
	for _, o := range pending {
		add(o, math.MaxInt64)
	}
	return porcupine.CheckOperations(leaseModel(len(subjects)), operations)
}

func microseconds(ms float64) int64 { return int64(ms * 1000) }

// leaseModel is the sequential behaviour of an incarnation's lease. Its state is whether the incarnation is lost.
func leaseModel(subjects int) porcupine.Model {
	return porcupine.Model{
		Partition: func(operations []porcupine.Operation) [][]porcupine.Operation {
			parts := make([][]porcupine.Operation, subjects)
			for _, o := range operations {
				parts[o.Input.(int)] = append(parts[o.Input.(int)], o)
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

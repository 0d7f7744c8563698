package ledger

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

const estimatesIntervalMS = 5000 // between records of the scheduler's estimates

var estimatesKey = recordKey('f', "")

// persistEstimates writes each estimate as a name field followed by a value field, in the scheduler's order.
func (l *Ledger) persistEstimates() {
	w := l.newRecord(kindEstimates)
	for _, e := range l.estimates {
		l.valueBuffer = protowire.AppendTag(l.valueBuffer, fieldEstimateName, protowire.BytesType)
		l.valueBuffer = protowire.AppendString(l.valueBuffer, e.Name)
		l.valueBuffer = protowire.AppendTag(l.valueBuffer, fieldEstimateValue, protowire.Fixed64Type)
		l.valueBuffer = protowire.AppendFixed64(l.valueBuffer, math.Float64bits(e.Value))
	}
	w.persist(estimatesKey, 0)
}

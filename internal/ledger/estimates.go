package ledger

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

const estimatesIntervalMS = 5000 // between records of the scheduler's estimates

var estimatesKey = recordKey('f', "")

// persistEstimates writes each estimate as its name and its value, in the scheduler's order.
func (l *Ledger) persistEstimates() {
	w := l.newRecord(kindEstimates)
	for _, e := range l.estimates {
		l.buf = protowire.AppendTag(l.buf, fieldEstimateName, protowire.BytesType)
		l.buf = protowire.AppendString(l.buf, e.Name)
		l.buf = protowire.AppendTag(l.buf, fieldEstimateValue, protowire.Fixed64Type)
		l.buf = protowire.AppendFixed64(l.buf, math.Float64bits(e.Value))
	}
	w.persist(estimatesKey, 0)
}

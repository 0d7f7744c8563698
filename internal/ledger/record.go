package ledger

import (
	"crypto/sha256"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"liftshift/scheduler"
)

// Records are protobuf messages without a schema file. Times are log time in ms. The numbers of kinds and fields are
// stored: they never change, and the number of a removed one is never reused.

// recordKind identifies the type of a record.
type recordKind int

const (
	kindRequest        recordKind = 1
	kindIdempotencyKey recordKind = 2
	kindRetryBudget    recordKind = 3
	kindExecutor       recordKind = 4
	kindIncarnation    recordKind = 5
	kindEstimates      recordKind = 6
	kindOperatorNote   recordKind = 7
)

// kindNames are printed by the commands that show a store, and scripts parse them, so they never change.
var kindNames = [...]string{
	"?", kindRequest: "search", kindIdempotencyKey: "mark", kindRetryBudget: "ration", kindExecutor: "executor",
	kindIncarnation: "life", kindEstimates: "learnt", kindOperatorNote: "note",
}

// String returns the printed name of the kind.
func (k recordKind) String() string { return kindNames[k] }

// known returns whether this version can read records of the kind.
func (k recordKind) known() bool { return k >= kindRequest && k <= kindOperatorNote }

// The field numbers. A field has the same meaning in all kinds, except where noted, so that a record can be printed
// without knowledge of its kind.
const (
	fieldKind                 protowire.Number = 1
	fieldAt                   protowire.Number = 2
	fieldID                   protowire.Number = 3
	fieldIdempotencyKey       protowire.Number = 4 // in an operator note: the author
	fieldClass                protowire.Number = 5
	fieldState                protowire.Number = 6
	fieldUntil                protowire.Number = 7 // in a request: the deadline; in an idempotency key: the last change
	fieldInFlight             protowire.Number = 8
	fieldMayHaveRun           protowire.Number = 9 // in an idempotency key: an attempt succeeded
	fieldFirstAttempt         protowire.Number = 10
	fieldExecutor             protowire.Number = 11
	fieldZone                 protowire.Number = 12
	fieldCell                 protowire.Number = 13
	fieldUnresolved           protowire.Number = 14
	fieldBody                 protowire.Number = 15
	fieldHasBody              protowire.Number = 16
	fieldSlots                protowire.Number = 17
	fieldWarmupUntil          protowire.Number = 18
	fieldEjected              protowire.Number = 19
	fieldEjections            protowire.Number = 20
	fieldDrainVersion         protowire.Number = 21
	fieldExecutorStartedAt    protowire.Number = 22
	fieldIncarnationStartedAt protowire.Number = 23
	fieldWallClock            protowire.Number = 24
	fieldUptime               protowire.Number = 25
	fieldBoot                 protowire.Number = 26
	fieldClean                protowire.Number = 27
	fieldInDoubtUntil         protowire.Number = 28
	fieldEstimateName         protowire.Number = 29
	fieldEstimateValue        protowire.Number = 30
	fieldCount                protowire.Number = 31
)

// fieldNames are printed by the commands that show a store, and scripts parse them, so they never change.
var fieldNames = [fieldCount]string{
	fieldKind: "kind", fieldAt: "at", fieldID: "id", fieldIdempotencyKey: "mark", fieldClass: "offering",
	fieldState: "state", fieldUntil: "until", fieldInFlight: "out", fieldMayHaveRun: "may_have_run",
	fieldFirstAttempt: "first", fieldExecutor: "executor", fieldZone: "place", fieldCell: "cell",
	fieldUnresolved: "unsure", fieldBody: "body", fieldHasBody: "has_body", fieldSlots: "slots",
	fieldWarmupUntil: "cold_until", fieldEjected: "aside", fieldEjections: "strikes", fieldDrainVersion: "drain",
	fieldExecutorStartedAt: "up_since", fieldIncarnationStartedAt: "began", fieldWallClock: "wall",
	fieldUptime: "up", fieldBoot: "boot", fieldClean: "clean", fieldInDoubtUntil: "doubt_until",
	fieldEstimateName: "figure", fieldEstimateValue: "value",
}

// recordKey returns the key of a record: a hash of its text, prefixed by a byte that is unique to the kind.
func recordKey(prefix byte, text string) (key Key) {
	var buffer [96]byte
	sum := sha256.Sum256(append(append(buffer[:0], prefix), text...))
	copy(key[:], sum[:])
	return key
}

// decodedRecord holds the fields of a record. The texts alias the encoded record.
type decodedRecord struct {
	kind      recordKind
	numbers   [fieldCount]float64
	texts     [fieldCount][]byte
	estimates []scheduler.Estimate
	present   [fieldCount]bool
}

func (r *decodedRecord) number(field protowire.Number) float64 { return r.numbers[field] }
func (r *decodedRecord) text(field protowire.Number) string    { return string(r.texts[field]) }

// decodeRecord decodes a record. It returns false if the record is malformed or of an unknown kind. Unknown fields are
// skipped.
func decodeRecord(encoded []byte) (record decodedRecord, ok bool) {
	estimate := "" // name of the next estimate
	for len(encoded) > 0 {
		field, wireType, length := protowire.ConsumeTag(encoded)
		if length < 0 {
			return record, false
		}
		encoded = encoded[length:]
		known := field < fieldCount
		switch wireType {
		case protowire.Fixed64Type:
			var bits uint64
			bits, length = protowire.ConsumeFixed64(encoded)
			value := math.Float64frombits(bits)
			if length >= 0 && field == fieldEstimateValue {
				record.estimates = append(record.estimates, scheduler.Estimate{Name: estimate, Value: value})
			} else if length >= 0 && known {
				record.numbers[field], record.present[field] = value, true
			}
		case protowire.BytesType:
			var text []byte
			text, length = protowire.ConsumeBytes(encoded)
			if length >= 0 && field == fieldEstimateName {
				estimate = string(text)
			} else if length >= 0 && known {
				record.texts[field], record.present[field] = text, true
			}
		default: // a wire type that only later versions use
			length = protowire.ConsumeFieldValue(field, wireType, encoded)
		}
		if length < 0 {
			return record, false
		}
		encoded = encoded[length:]
	}
	record.kind = recordKind(record.numbers[fieldKind])
	return record, record.kind.known()
}

// DescribeRecord returns the kind of a record and its fields by name, for display. It returns false if the record
// cannot be decoded.
func DescribeRecord(value []byte) (kind string, fields map[string]any, ok bool) {
	record, ok := decodeRecord(value)
	if !ok {
		return "", nil, false
	}
	fields = map[string]any{}
	for field := fieldAt; field < fieldCount; field++ {
		if record.present[field] && field != fieldBody && field != fieldSlots {
			fields[fieldNames[field]] = record.describe(field)
		}
	}
	if record.present[fieldBody] {
		fields["body_bytes"] = len(record.texts[fieldBody])
	}
	for _, e := range record.estimates {
		if e.Name != "ran" { // the time for which the scheduler has run; not an estimate
			fields[e.Name] = e.Value
		}
	}
	return record.kind.String(), fields, true
}

// describe returns the value of a field in the form that DescribeRecord returns.
func (r *decodedRecord) describe(field protowire.Number) any {
	switch {
	case r.texts[field] != nil:
		return string(r.texts[field])
	case field == fieldState:
		return requestState(r.numbers[field]).outcome().String()
	case math.IsInf(r.numbers[field], 0):
		return "not known"
	default:
		return r.numbers[field]
	}
}

// recordWriter appends the fields of one record to Ledger.valueBuffer. Zero values are omitted.
type recordWriter struct {
	ledger *Ledger
	start  int // offset of the record in Ledger.valueBuffer
}

func (l *Ledger) newRecord(kind recordKind) recordWriter {
	w := recordWriter{ledger: l, start: len(l.valueBuffer)}
	w.number(fieldKind, float64(kind))
	w.number(fieldAt, l.now)
	return w
}

func (w recordWriter) number(field protowire.Number, value float64) {
	if value != 0 {
		w.ledger.valueBuffer = protowire.AppendTag(w.ledger.valueBuffer, field, protowire.Fixed64Type)
		w.ledger.valueBuffer = protowire.AppendFixed64(w.ledger.valueBuffer, math.Float64bits(value))
	}
}

func (w recordWriter) flag(field protowire.Number, value bool) {
	if value {
		w.number(field, 1)
	}
}

func (w recordWriter) text(field protowire.Number, value string) {
	if value != "" {
		w.ledger.valueBuffer = protowire.AppendTag(w.ledger.valueBuffer, field, protowire.BytesType)
		w.ledger.valueBuffer = protowire.AppendString(w.ledger.valueBuffer, value)
	}
}

func (w recordWriter) bytes(field protowire.Number, value []byte) {
	if len(value) > 0 {
		w.ledger.valueBuffer = protowire.AppendTag(w.ledger.valueBuffer, field, protowire.BytesType)
		w.ledger.valueBuffer = protowire.AppendBytes(w.ledger.valueBuffer, value)
	}
}

// persist emits a Persist effect that stores the record under a key until the log time expires, or forever if that is
// 0.
func (w recordWriter) persist(storeKey Key, expires int64) {
	buffer := w.ledger.valueBuffer
	w.ledger.emit(Effect{
		Kind: Persist, Key: storeKey, Value: buffer[w.start:len(buffer):len(buffer)], Expires: expires,
	})
}

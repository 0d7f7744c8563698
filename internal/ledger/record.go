package ledger

import (
	"crypto/sha256"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"liftshift/scheduler"
)

// Records are protobuf messages without a schema file. A field has the same meaning in all kinds, so that a record can be shown
// without knowing its kind. Times are log time in ms. The numbers of kinds and fields are stored: none changes, and none is used
// a second time.

// recordKind tells what a record is of.
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

// kindNames are printed by the commands that show a store, and scripts read them.
var kindNames = [...]string{"?", kindRequest: "search", kindIdempotencyKey: "mark", kindRetryBudget: "ration", kindExecutor: "executor",
	kindIncarnation: "life", kindEstimates: "learnt", kindOperatorNote: "note"}

// String returns the name under which the kind is printed.
func (k recordKind) String() string { return kindNames[k] }

// known tells whether this program can read records of the kind.
func (k recordKind) known() bool { return k >= kindRequest && k <= kindOperatorNote }

const (
	fieldKind                 protowire.Number = 1
	fieldAt                   protowire.Number = 2
	fieldID                   protowire.Number = 3
	fieldIdempotencyKey       protowire.Number = 4 // of a note: its author
	fieldClass                protowire.Number = 5
	fieldState                protowire.Number = 6
	fieldUntil                protowire.Number = 7 // of a request: its deadline; of a key: its last use
	fieldInFlight             protowire.Number = 8
	fieldMayHaveRun           protowire.Number = 9
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

// fieldNames are printed by the commands that show a store, and scripts read them.
var fieldNames = [fieldCount]string{
	fieldKind: "kind", fieldAt: "at", fieldID: "id", fieldIdempotencyKey: "mark", fieldClass: "offering", fieldState: "state",
	fieldUntil: "until", fieldInFlight: "out", fieldMayHaveRun: "may_have_run", fieldFirstAttempt: "first", fieldExecutor: "executor",
	fieldZone: "place", fieldCell: "cell", fieldUnresolved: "unsure", fieldBody: "body", fieldHasBody: "has_body", fieldSlots: "slots",
	fieldWarmupUntil: "cold_until", fieldEjected: "aside", fieldEjections: "strikes", fieldDrainVersion: "drain",
	fieldExecutorStartedAt: "up_since", fieldIncarnationStartedAt: "began", fieldWallClock: "wall", fieldUptime: "up", fieldBoot: "boot",
	fieldClean: "clean", fieldInDoubtUntil: "doubt_until", fieldEstimateName: "figure", fieldEstimateValue: "value",
}

// recordKey returns the key of a record: a hash of the text, with a prefix that keeps kinds apart.
func recordKey(prefix byte, text string) (k Key) {
	var buf [96]byte
	sum := sha256.Sum256(append(append(buf[:0], prefix), text...))
	copy(k[:], sum[:])
	return k
}

// decodedRecord holds the fields of a record. Texts point into the record's bytes.
type decodedRecord struct {
	kind      recordKind
	numbers   [fieldCount]float64
	texts     [fieldCount][]byte
	estimates []scheduler.Estimate
	set       [fieldCount]bool
}

func (r *decodedRecord) number(n protowire.Number) float64 { return r.numbers[n] }
func (r *decodedRecord) text(n protowire.Number) string    { return string(r.texts[n]) }

// decodeRecord takes a record apart. It returns false for one that is malformed or of an unknown kind.
func decodeRecord(b []byte) (r decodedRecord, ok bool) {
	estimate := "" // the name of the next value
	for len(b) > 0 {
		n, wireType, used := protowire.ConsumeTag(b)
		if used < 0 {
			return r, false
		}
		b = b[used:]
		known := n < fieldCount
		switch wireType {
		case protowire.Fixed64Type:
			var bits uint64
			bits, used = protowire.ConsumeFixed64(b)
			value := math.Float64frombits(bits)
			if used >= 0 && n == fieldEstimateValue {
				r.estimates = append(r.estimates, scheduler.Estimate{Name: estimate, Value: value})
			} else if used >= 0 && known {
				r.numbers[n], r.set[n] = value, true
			}
		case protowire.BytesType:
			var text []byte
			text, used = protowire.ConsumeBytes(b)
			if used >= 0 && n == fieldEstimateName {
				estimate = string(text)
			} else if used >= 0 && known {
				r.texts[n], r.set[n] = text, true
			}
		default: // of a later version
			used = protowire.ConsumeFieldValue(n, wireType, b)
		}
		if used < 0 {
			return r, false
		}
		b = b[used:]
	}
	r.kind = recordKind(r.numbers[fieldKind])
	return r, r.kind.known()
}

// DescribeRecord returns a record's kind and its fields by name, for people; false for one that it can't read.
func DescribeRecord(value []byte) (kind string, shown map[string]any, ok bool) {
	r, ok := decodeRecord(value)
	if !ok {
		return "", nil, false
	}
	shown = map[string]any{}
	for n := fieldAt; n < fieldCount; n++ {
		if r.set[n] && n != fieldBody && n != fieldSlots {
			shown[fieldNames[n]] = r.describe(n)
		}
	}
	if r.set[fieldBody] {
		shown["body_bytes"] = len(r.texts[fieldBody])
	}
	for _, e := range r.estimates {
		if e.Name != "ran" { // how long the scheduler has run, which is no estimate
			shown[e.Name] = e.Value
		}
	}
	return r.kind.String(), shown, true
}

// describe returns the value of a field as DescribeRecord shows it.
func (r *decodedRecord) describe(n protowire.Number) any {
	switch {
	case r.texts[n] != nil:
		return string(r.texts[n])
	case n == fieldState:
		return requestState(r.numbers[n]).outcome().String()
	case math.IsInf(r.numbers[n], 0):
		return "not known"
	default:
		return r.numbers[n]
	}
}

// recordWriter appends the fields of one record to the ledger's buffer. Zero values are left out.
type recordWriter struct {
	ledger *Ledger
	start  int
}

func (l *Ledger) newRecord(kind recordKind) recordWriter {
	w := recordWriter{ledger: l, start: len(l.buf)}
	w.number(fieldKind, float64(kind))
	w.number(fieldAt, l.now)
	return w
}

func (w recordWriter) number(n protowire.Number, v float64) {
	if v != 0 {
		w.ledger.buf = protowire.AppendTag(w.ledger.buf, n, protowire.Fixed64Type)
		w.ledger.buf = protowire.AppendFixed64(w.ledger.buf, math.Float64bits(v))
	}
}

func (w recordWriter) flag(n protowire.Number, v bool) {
	if v {
		w.number(n, 1)
	}
}

func (w recordWriter) text(n protowire.Number, v string) {
	if v != "" {
		w.ledger.buf = protowire.AppendTag(w.ledger.buf, n, protowire.BytesType)
		w.ledger.buf = protowire.AppendString(w.ledger.buf, v)
	}
}

func (w recordWriter) bytes(n protowire.Number, v []byte) {
	if len(v) > 0 {
		w.ledger.buf = protowire.AppendTag(w.ledger.buf, n, protowire.BytesType)
		w.ledger.buf = protowire.AppendBytes(w.ledger.buf, v)
	}
}

// persist asks for the record to be stored under a key until a log time; 0: for good.
func (w recordWriter) persist(k Key, expires int64) {
	buf := w.ledger.buf
	w.ledger.emit(Effect{Kind: Persist, Key: k, Value: buf[w.start:len(buf):len(buf)], Expires: expires})
}

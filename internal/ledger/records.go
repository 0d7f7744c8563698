package ledger

import (
	"math"
	"strconv"

	"google.golang.org/protobuf/encoding/protowire"

	"liftshift/internal/index"
	"liftshift/scheduler"
)

// Records are protobuf messages without a schema file: a field has the same meaning in all kinds, so that a record can
// be shown without knowing more. Times are log time in ms. The numbers of kinds and fields stand on disks: none changes, and none is
// given again.
const (
	searchRecord = 1
	markRecord   = 2
	rationRecord = 3
	trustRecord  = 4
	lifeRecord   = 5
	learntRecord = 6
	noteRecord   = 7
)

const (
	fieldKind     protowire.Number = 1
	fieldAt       protowire.Number = 2
	fieldID       protowire.Number = 3
	fieldMark     protowire.Number = 4
	fieldOffering protowire.Number = 5
	fieldState    protowire.Number = 6
	fieldUntil    protowire.Number = 7
	fieldOut      protowire.Number = 8
	fieldRan      protowire.Number = 9
	fieldFirst    protowire.Number = 10
	fieldExecutor protowire.Number = 11
	fieldPlace    protowire.Number = 12
	fieldCell     protowire.Number = 13
	fieldUnsure   protowire.Number = 14
	fieldBody     protowire.Number = 15
	fieldHasBody  protowire.Number = 16
	fieldSlots    protowire.Number = 17
	fieldCold     protowire.Number = 18
	fieldAside    protowire.Number = 19
	fieldStrikes  protowire.Number = 20
	fieldDrain    protowire.Number = 21
	fieldUpSince  protowire.Number = 22
	fieldBegan    protowire.Number = 23
	fieldWall     protowire.Number = 24
	fieldUp       protowire.Number = 25
	fieldBoot     protowire.Number = 26
	fieldClean    protowire.Number = 27
	fieldDoubt    protowire.Number = 28
	fieldFigure   protowire.Number = 29
	fieldValue    protowire.Number = 30
	fieldEnd      protowire.Number = 31
)

var fieldNames = [fieldEnd]string{fieldKind: "kind", fieldAt: "at", fieldID: "id", fieldMark: "mark",
	fieldOffering: "offering", fieldState: "state", fieldUntil: "until", fieldOut: "out", fieldRan: "may_have_run",
	fieldFirst: "first", fieldExecutor: "executor", fieldPlace: "place", fieldCell: "cell", fieldUnsure: "unsure",
	fieldBody: "body", fieldHasBody: "has_body", fieldSlots: "slots", fieldCold: "cold_until", fieldAside: "aside",
	fieldStrikes: "strikes", fieldDrain: "drain", fieldUpSince: "up_since", fieldBegan: "began", fieldWall: "wall",
	fieldUp: "up", fieldBoot: "boot", fieldClean: "clean", fieldDoubt: "doubt_until", fieldFigure: "figure", fieldValue: "value"}

var kindNames = [...]string{"?", "search", "mark", "ration", "executor", "life", "learnt", "note"}

// fields is a record taken apart.
type fields struct {
	kind    int
	nums    [fieldEnd]float64
	texts   [fieldEnd][]byte
	figures []scheduler.Estimate
	set     [fieldEnd]bool
}

func (f *fields) num(n protowire.Number) float64 { return f.nums[n] }
func (f *fields) text(n protowire.Number) string { return string(f.texts[n]) }

// readRecord takes a record apart; false if it is none of ours.
func readRecord(b []byte) (f fields, ok bool) {
	name := ""
	for len(b) > 0 {
		n, kind, used := protowire.ConsumeTag(b)
		if used < 0 {
			return f, false
		}
		b = b[used:]
		known := n < fieldEnd
		switch {
		case kind == protowire.Fixed64Type:
			v, used := protowire.ConsumeFixed64(b)
			if used < 0 {
				return f, false
			}
			b = b[used:]
			if x := math.Float64frombits(v); n == fieldValue {
				f.figures = append(f.figures, scheduler.Estimate{Name: name, Value: x})
			} else if known {
				f.nums[n], f.set[n] = x, true
			}
		case kind == protowire.BytesType:
			v, used := protowire.ConsumeBytes(b)
			if used < 0 {
				return f, false
			}
			b = b[used:]
			if n == fieldFigure {
				name = string(v)
			} else if known {
				f.texts[n], f.set[n] = v, true
			}
		default: // of a later version
			used := protowire.ConsumeFieldValue(n, kind, b)
			if used < 0 {
				return f, false
			}
			b = b[used:]
		}
	}
	f.kind = int(f.nums[fieldKind])
	return f, f.kind >= searchRecord && f.kind <= noteRecord
}

// DescribeRecord gives a record's kind, name and fields, for people.
func DescribeRecord(value []byte) (kind string, shown map[string]any, ok bool) {
	f, ok := readRecord(value)
	if !ok {
		return "", nil, false
	}
	shown = map[string]any{}
	for n := fieldAt; n < fieldEnd; n++ {
		switch {
		case !f.set[n] || n == fieldBody || n == fieldSlots:
		case f.texts[n] != nil:
			shown[fieldNames[n]] = string(f.texts[n])
		case n == fieldState:
			shown[fieldNames[n]] = state(f.nums[n]).outcome().String()
		case math.IsInf(f.nums[n], 0):
			shown[fieldNames[n]] = "not known"
		default:
			shown[fieldNames[n]] = f.nums[n]
		}
	}
	if f.set[fieldBody] {
		shown["body_bytes"] = len(f.texts[fieldBody])
	}
	for _, x := range f.figures {
		if x.Name != "ran" {
			shown[x.Name] = x.Value
		}
	}
	return kindNames[f.kind], shown, true
}

// writer appends fields to the ledger's buffer; zeros are left out.
type writer struct {
	l    *Ledger
	from int
}

func (l *Ledger) record(kind int) writer {
	w := writer{l, len(l.buf)}
	w.num(fieldKind, float64(kind))
	w.num(fieldAt, l.now)
	return w
}

func (w writer) num(n protowire.Number, v float64) {
	if v != 0 {
		w.l.buf = protowire.AppendFixed64(protowire.AppendTag(w.l.buf, n, protowire.Fixed64Type), math.Float64bits(v))
	}
}

func (w writer) flag(n protowire.Number, v bool) {
	if v {
		w.num(n, 1)
	}
}

func (w writer) text(n protowire.Number, v string) {
	if v != "" {
		w.l.buf = protowire.AppendString(protowire.AppendTag(w.l.buf, n, protowire.BytesType), v)
	}
}

func (w writer) bytes(n protowire.Number, v []byte) {
	if len(v) > 0 {
		w.l.buf = protowire.AppendBytes(protowire.AppendTag(w.l.buf, n, protowire.BytesType), v)
	}
}

// keep asks for the record to be kept under a key, until a log time; 0: for good.
func (w writer) keep(k Key, expires int64) {
	w.l.do(Effect{Kind: Persist, Key: k, Value: w.l.buf[w.from:len(w.l.buf):len(w.l.buf)], Expires: expires})
}

func (l *Ledger) keepSearch(k Key, s *search) {
	w := l.record(searchRecord)
	w.text(fieldID, s.id)
	w.text(fieldMark, s.label)
	w.text(fieldOffering, l.offerings[s.offering].name)
	w.num(fieldState, float64(s.state))
	w.num(fieldUntil, s.until)
	w.num(fieldOut, float64(s.out))
	w.flag(fieldRan, s.ran)
	w.keep(k, l.searchExpires(&l.offerings[s.offering], s.until))
}

func (l *Ledger) readSearch(ev *Event, r fields) {
	n, o := l.offering(r.text(fieldOffering))
	if o == nil { // an offering that is no more: nothing of it can come again
		return
	}
	s, _ := l.searches.Put(ev.Key, ev.Expires)
	*s = search{id: r.text(fieldID), label: r.text(fieldMark), offering: n, state: min(state(r.num(fieldState)), left),
		at: r.num(fieldAt), until: r.num(fieldUntil), out: uint8(r.num(fieldOut)), ran: r.num(fieldRan) != 0}
	if o.recorded() {
		s.mark = markKey(s.label)
	}
}

func (l *Ledger) keepMark(k Key, m *mark) {
	w := l.record(markRecord)
	w.text(fieldMark, m.label)
	w.text(fieldOffering, l.offerings[m.offering].name)
	w.num(fieldFirst, m.first)
	w.num(fieldUntil, m.last)
	w.num(fieldExecutor, float64(m.executor))
	w.text(fieldPlace, m.place)
	w.num(fieldCell, float64(m.cell))
	w.num(fieldUnsure, float64(m.unsure))
	w.flag(fieldRan, m.ran)
	w.flag(fieldHasBody, m.body != nil)
	w.bytes(fieldBody, m.body)
	w.keep(k, clampMS(m.last+l.offerings[m.offering].window+l.remember))
}

func (l *Ledger) readMark(ev *Event, r fields) {
	n, o := l.offering(r.text(fieldOffering))
	if o == nil {
		return
	}
	m, _ := l.marks.Put(ev.Key, ev.Expires)
	l.bodies -= len(m.body)
	*m = mark{label: r.text(fieldMark), offering: n, first: r.num(fieldFirst), last: r.num(fieldUntil),
		executor: uint32(r.num(fieldExecutor)), place: r.text(fieldPlace), cell: int64(r.num(fieldCell)),
		unsure: int(r.num(fieldUnsure)), ran: r.num(fieldRan) != 0}
	if r.num(fieldHasBody) != 0 {
		m.body = append([]byte{}, r.texts[fieldBody]...)
		l.bodies += len(m.body)
	}
}

var rationKey, lifeKey, learntKey = keyOf('r', ""), keyOf('l', ""), keyOf('f', "")

func (l *Ledger) keepRation() {
	l.ration.dirty = false
	l.ration.forget(l.now)
	w := l.record(rationRecord)
	packed := make([]byte, 0, 16*len(l.ration.slots))
	for _, s := range l.ration.slots {
		packed = protowire.AppendVarint(packed, uint64(s.n))
		packed = protowire.AppendVarint(packed, uint64(s.takes))
		packed = protowire.AppendVarint(packed, uint64(s.extras))
	}
	w.bytes(fieldSlots, packed)
	w.keep(rationKey, 0)
}

func (r *ration) read(f fields) {
	r.slots = r.slots[:0]
	for b := f.texts[fieldSlots]; len(b) > 0; {
		var v [3]uint64
		for k := range v {
			n, used := protowire.ConsumeVarint(b)
			if used < 0 {
				return
			}
			v[k], b = n, b[used:]
		}
		r.slots = append(r.slots, slot{int64(v[0]), int(v[1]), int(v[2])})
	}
}

func (t *trust) key() index.Key { return keyOf('e', strconv.FormatUint(uint64(t.id), 10)) }

func (l *Ledger) keepTrust(t *trust) {
	t.told = l.now
	w := l.record(trustRecord)
	w.num(fieldExecutor, float64(t.id))
	w.text(fieldPlace, t.place)
	w.num(fieldCell, float64(t.cell))
	w.num(fieldCold, t.coldUntil)
	w.flag(fieldAside, t.aside)
	w.num(fieldStrikes, float64(t.strikes))
	w.num(fieldDrain, float64(t.drain))
	w.num(fieldUpSince, t.upSince)
	w.keep(t.key(), clampMS(l.now+trustMS))
}

func (l *Ledger) keepLife() {
	l.life.told = l.now
	w := l.record(lifeRecord)
	w.num(fieldBegan, l.life.at)
	w.num(fieldWall, l.life.moment.WallMS)
	w.num(fieldUp, l.life.moment.UpMS)
	w.text(fieldBoot, l.life.moment.Boot)
	w.flag(fieldClean, l.life.clean)
	w.num(fieldDoubt, l.doubtUntil)
	w.keep(lifeKey, 0)
}

func (l *Ledger) keepLearnt() {
	w := l.record(learntRecord)
	for _, f := range l.learnt {
		l.buf = protowire.AppendString(protowire.AppendTag(l.buf, fieldFigure, protowire.BytesType), f.Name)
		l.buf = protowire.AppendFixed64(protowire.AppendTag(l.buf, fieldValue, protowire.Fixed64Type), math.Float64bits(f.Value))
	}
	w.keep(learntKey, 0)
}

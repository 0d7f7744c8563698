package handoff

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

// writer appends fields in the wire format of protocol buffers; zero values are left out.
type writer []byte

func (w *writer) number(field protowire.Number, v uint64) {
	if v != 0 {
		*w = protowire.AppendVarint(protowire.AppendTag(*w, field, protowire.VarintType), v)
	}
}

func (w *writer) float(field protowire.Number, v float64) {
	if v != 0 {
		*w = protowire.AppendFixed64(protowire.AppendTag(*w, field, protowire.Fixed64Type), math.Float64bits(v))
	}
}

func (w *writer) text(field protowire.Number, s string) {
	if s != "" {
		*w = protowire.AppendString(protowire.AppendTag(*w, field, protowire.BytesType), s)
	}
}

// bytes appends bytes that may be empty, which differs from absent.
func (w *writer) bytes(field protowire.Number, b []byte) {
	if b != nil {
		*w = protowire.AppendBytes(protowire.AppendTag(*w, field, protowire.BytesType), b)
	}
}

func (w *writer) flag(field protowire.Number, b bool) {
	if b {
		w.number(field, 1)
	}
}

// value is the value of one field that was read.
type value struct {
	number uint64
	bytes  []byte
}

func (v value) float() float64 { return math.Float64frombits(v.number) }

// readFields calls each with all fields of a message in order.
func readFields(b []byte, each func(field protowire.Number, v value) error) error {
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errMalformed
		}
		b = b[n:]
		var v value
		switch kind {
		case protowire.VarintType:
			v.number, n = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			v.number, n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			v.bytes, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(field, kind, b)
		}
		if n < 0 {
			return errMalformed
		}
		b = b[n:]
		if err := each(field, v); err != nil {
			return err
		}
	}
	return nil
}

func clone(b []byte) []byte { return append([]byte{}, b...) }

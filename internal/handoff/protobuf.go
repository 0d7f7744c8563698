package handoff

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

// writer appends fields in the wire format of protocol buffers. Zero values are left out.
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

// bytes appends a field that is left out only if data is nil: an empty field differs from an absent one.
func (w *writer) bytes(field protowire.Number, data []byte) {
	if data != nil {
		*w = protowire.AppendBytes(protowire.AppendTag(*w, field, protowire.BytesType), data)
	}
}

func (w *writer) flag(field protowire.Number, b bool) {
	if b {
		w.number(field, 1)
	}
}

// value is the decoded value of one field: a number or bytes, by the wire type of the field.
type value struct {
	number uint64 // of a varint or a fixed64
	bytes  []byte // part of the message that was read, not a copy
}

// float returns the number of a fixed64 field that carries a double.
func (v value) float() float64 { return math.Float64frombits(v.number) }

// readFields calls visit with each field of a message, in order, and returns the first error. A field of any other wire
// type is visited with an empty value.
func readFields(data []byte, visit func(field protowire.Number, val value) error) error {
	for len(data) > 0 {
		field, wireType, length := protowire.ConsumeTag(data)
		if length < 0 {
			return errMalformed
		}
		data = data[length:]
		var val value
		switch wireType {
		case protowire.VarintType:
			val.number, length = protowire.ConsumeVarint(data)
		case protowire.Fixed64Type:
			val.number, length = protowire.ConsumeFixed64(data)
		case protowire.BytesType:
			val.bytes, length = protowire.ConsumeBytes(data)
		default:
			length = protowire.ConsumeFieldValue(field, wireType, data)
		}
		if length < 0 {
			return errMalformed
		}
		data = data[length:]
		if err := visit(field, val); err != nil {
			return err
		}
	}
	return nil
}

// clone returns a copy of data that is never nil, as a field that is present but empty differs from an absent one.
func clone(data []byte) []byte { return append([]byte{}, data...) }

package handoff

import (
	"errors"
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

var errMalformed = errors.New("estate: a batch that can't be read")

// writer writes fields of the protocol buffers' wire format; what is zero is left out.
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

// bytes writes what may be empty, which is another thing than not there.
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

// value is one field as it was read.
type value struct {
	number uint64
	bytes  []byte
}

func (v value) float() float64 { return math.Float64frombits(v.number) }

// fields reads all fields of a message.
func fields(b []byte, each func(field protowire.Number, v value) error) error {
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

// ago is how a time goes over the wire: as ms before now. 0 stays 0.
func ago(now, at float64) float64 {
	if at == 0 {
		return 0
	}
	return max(now-at, 1e-3)
}

// back turns it into a time again, as early as it can have been.
func back(now, ago float64) float64 {
	if ago == 0 {
		return 0
	}
	return now - ago - sureMS
}

func (c *Copy) append(w *writer, now float64) {
	w.text(1, c.ID)
	w.text(2, c.IdempotencyKey)
	w.text(3, c.Class)
	w.text(4, c.OrderKey)
	w.text(5, c.Team)
	w.text(6, c.Schema)
	w.number(7, c.TableGroup)
	w.float(8, c.MemoryMB)
	w.float(9, c.WorkMS)
	w.bytes(10, c.Body)
	w.text(11, c.Owner.Name)
	w.number(12, c.Owner.Incarnation)
	w.number(13, c.Sequence)
	w.number(14, uint64(c.Outcome))
	w.number(15, uint64(c.RunState))
	w.float(16, ago(now, c.FirstAttemptAt))
	w.text(17, c.Zone)
	w.number(18, protowire.EncodeZigZag(c.Cell))
	w.float(19, c.Deadline-now)
	w.bytes(20, c.Answer)
	w.flag(21, c.Complete)
	w.flag(22, c.Idempotent)
	w.flag(23, c.Confirmed)
}

func readCopy(b []byte, now float64) (c Copy, err error) {
	err = fields(b, func(f protowire.Number, v value) error {
		switch f {
		case 1:
			c.ID = string(v.bytes)
		case 2:
			c.IdempotencyKey = string(v.bytes)
		case 3:
			c.Class = string(v.bytes)
		case 4:
			c.OrderKey = string(v.bytes)
		case 5:
			c.Team = string(v.bytes)
		case 6:
			c.Schema = string(v.bytes)
		case 7:
			c.TableGroup = v.number
		case 8:
			c.MemoryMB = v.float()
		case 9:
			c.WorkMS = v.float()
		case 10:
			c.Body = clone(v.bytes)
		case 11:
			c.Owner.Name = string(v.bytes)
		case 12:
			c.Owner.Incarnation = v.number
		case 13:
			c.Sequence = v.number
		case 14:
			c.Outcome = Outcome(min(v.number, uint64(Unknown)))
		case 15:
			c.RunState = RunState(min(v.number, uint64(Ran)))
		case 16:
			c.FirstAttemptAt = back(now, v.float())
		case 17:
			c.Zone = string(v.bytes)
		case 18:
			c.Cell = protowire.DecodeZigZag(v.number)
		case 19:
			c.Deadline = now + v.float()
		case 20:
			c.Answer = clone(v.bytes)
		case 21:
			c.Complete = v.number != 0
		case 22:
			c.Idempotent = v.number != 0
		case 23:
			c.Confirmed = v.number != 0
		}
		return nil
	})
	if !(c.Deadline >= now-1e12 && c.Deadline <= now+1e12) || math.IsNaN(c.FirstAttemptAt) || math.IsNaN(c.MemoryMB+c.WorkMS) {
		return c, errMalformed
	}
	return c, err
}

func (it *Item) append(w *writer, now float64) {
	w.number(1, uint64(it.Op))
	if it.Key != (Key{}) {
		w.bytes(2, it.Key[:])
	}
	w.number(3, it.Sequence)
	if it.Copy != nil {
		var c writer
		it.Copy.append(&c, now)
		w.bytes(4, c)
	}
	w.number(5, uint64(it.RunState))
	w.float(6, ago(now, it.FirstAttemptAt))
	w.text(7, it.Zone)
	w.number(8, protowire.EncodeZigZag(it.Cell))
	w.number(9, uint64(it.Outcome))
	w.bytes(10, it.Answer)
	w.text(11, it.From.Name)
	w.number(12, it.From.Incarnation)
	w.number(13, uint64(it.Partition))
	if it.After != (Key{}) {
		w.bytes(14, it.After[:])
	}
	w.flag(15, it.More)
	w.text(16, it.Reason)
	for k := range it.Copies {
		var c writer
		it.Copies[k].append(&c, now)
		w.bytes(17, c)
	}
}

func readItem(b []byte, now float64) (it Item, err error) {
	err = fields(b, func(f protowire.Number, v value) error {
		switch f {
		case 1:
			it.Op = Op(min(v.number, 255))
		case 2:
			copy(it.Key[:], v.bytes)
		case 3:
			it.Sequence = v.number
		case 4:
			c, err := readCopy(v.bytes, now)
			it.Copy = &c
			return err
		case 5:
			it.RunState = RunState(min(v.number, uint64(Ran)))
		case 6:
			it.FirstAttemptAt = back(now, v.float())
		case 7:
			it.Zone = string(v.bytes)
		case 8:
			it.Cell = protowire.DecodeZigZag(v.number)
		case 9:
			it.Outcome = Outcome(min(v.number, uint64(Unknown)))
		case 10:
			it.Answer = clone(v.bytes)
		case 11:
			it.From.Name = string(v.bytes)
		case 12:
			it.From.Incarnation = v.number
		case 13:
			it.Partition = int(min(v.number, 1<<16))
		case 14:
			copy(it.After[:], v.bytes)
		case 15:
			it.More = v.number != 0
		case 16:
			it.Reason = string(v.bytes)
		case 17:
			c, err := readCopy(v.bytes, now)
			it.Copies = append(it.Copies, c)
			return err
		}
		return nil
	})
	if math.IsNaN(it.FirstAttemptAt) {
		return it, errMalformed
	}
	return it, err
}

// Append writes a batch, with times as so many ms from now.
func (b *Batch) Append(out []byte, now float64) []byte {
	w := writer(out)
	w.text(1, b.From.Name)
	w.number(2, b.From.Incarnation)
	w.number(3, b.Version)
	w.number(4, b.PlacementStep)
	w.flag(5, b.StalePlacement)
	for k := range b.Items {
		var it writer
		b.Items[k].append(&it, now)
		w.bytes(6, it)
	}
	return w
}

// ReadBatch reads one, which came now.
func ReadBatch(data []byte, now float64) (*Batch, error) {
	b := &Batch{}
	err := fields(data, func(f protowire.Number, v value) error {
		switch f {
		case 1:
			b.From.Name = string(v.bytes)
		case 2:
			b.From.Incarnation = v.number
		case 3:
			b.Version = v.number
		case 4:
			b.PlacementStep = v.number
		case 5:
			b.StalePlacement = v.number != 0
		case 6:
			it, err := readItem(v.bytes, now)
			b.Items = append(b.Items, it)
			return err
		}
		return nil
	})
	return b, err
}

// AppendCopy writes a copy for a disk, with times as so many ms from now.
func AppendCopy(out []byte, c *Copy, now float64) []byte {
	w := writer(out)
	c.append(&w, now)
	return w
}

// ReadCopy reads it, so many ms of now later than it was written.
func ReadCopy(data []byte, now float64) (Copy, error) { return readCopy(data, now) }

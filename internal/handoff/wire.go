package handoff

import (
	"errors"
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

// errMalformed goes back to the peer that sent the batch: its text does not change.
var errMalformed = errors.New("estate: a batch that can't be read")

// The numbers of the fields are those of stored copies and of messages between controllers: they do not change.
const (
	copyID             protowire.Number = 1
	copyIdempotencyKey protowire.Number = 2
	copyClass          protowire.Number = 3
	copyOrderKey       protowire.Number = 4
	copyTeam           protowire.Number = 5
	copySchema         protowire.Number = 6
	copyTableGroup     protowire.Number = 7
	copyMemoryMB       protowire.Number = 8
	copyWorkMS         protowire.Number = 9
	copyBody           protowire.Number = 10
	copyOwner          protowire.Number = 11
	copyIncarnation    protowire.Number = 12
	copySequence       protowire.Number = 13
	copyOutcome        protowire.Number = 14
	copyRunState       protowire.Number = 15
	copyFirstAttempt   protowire.Number = 16
	copyZone           protowire.Number = 17
	copyCell           protowire.Number = 18
	copyDeadline       protowire.Number = 19
	copyAnswer         protowire.Number = 20
	copyComplete       protowire.Number = 21
	copyIdempotent     protowire.Number = 22
	copyConfirmed      protowire.Number = 23

	itemOp           protowire.Number = 1
	itemKey          protowire.Number = 2
	itemSequence     protowire.Number = 3
	itemCopy         protowire.Number = 4
	itemRunState     protowire.Number = 5
	itemFirstAttempt protowire.Number = 6
	itemZone         protowire.Number = 7
	itemCell         protowire.Number = 8
	itemOutcome      protowire.Number = 9
	itemAnswer       protowire.Number = 10
	itemFrom         protowire.Number = 11
	itemIncarnation  protowire.Number = 12
	itemPartition    protowire.Number = 13
	itemAfter        protowire.Number = 14
	itemMore         protowire.Number = 15
	itemReason       protowire.Number = 16
	itemCopies       protowire.Number = 17

	batchFrom           protowire.Number = 1
	batchIncarnation    protowire.Number = 2
	batchVersion        protowire.Number = 3
	batchPlacementStep  protowire.Number = 4
	batchStalePlacement protowire.Number = 5
	batchItem           protowire.Number = 6
)

// Bounds of what is read: of times, and of numbers that a peer may send as it likes.
const (
	maxTimeDistanceMS = 1e12
	maxOp             = 255
	maxPartition      = 1 << 16
	minAgeMS          = 1e-3 // of an attempt: 0 stands for none
)

// age is how a time goes over the wire: as ms before now. 0 stays 0.
func age(now, at float64) float64 {
	if at == 0 {
		return 0
	}
	return max(now-at, minAgeMS)
}

// earliest is the earliest time that an age from the wire can stand for. 0 stays 0.
func earliest(now, age float64) float64 {
	if age == 0 {
		return 0
	}
	return now - age - ageUncertaintyMS
}

func (c *Copy) append(w *writer, now float64) {
	w.text(copyID, c.ID)
	w.text(copyIdempotencyKey, c.IdempotencyKey)
	w.text(copyClass, c.Class)
	w.text(copyOrderKey, c.OrderKey)
	w.text(copyTeam, c.Team)
	w.text(copySchema, c.Schema)
	w.number(copyTableGroup, c.TableGroup)
	w.float(copyMemoryMB, c.MemoryMB)
	w.float(copyWorkMS, c.WorkMS)
	w.bytes(copyBody, c.Body)
	w.text(copyOwner, c.Owner.Name)
	w.number(copyIncarnation, c.Owner.Incarnation)
	w.number(copySequence, c.Sequence)
	w.number(copyOutcome, uint64(c.Outcome))
	w.number(copyRunState, uint64(c.RunState))
	w.float(copyFirstAttempt, age(now, c.FirstAttemptAt))
	w.text(copyZone, c.Zone)
	w.number(copyCell, protowire.EncodeZigZag(c.Cell))
	w.float(copyDeadline, c.Deadline-now)
	w.bytes(copyAnswer, c.Answer)
	w.flag(copyComplete, c.Complete)
	w.flag(copyIdempotent, c.Idempotent)
	w.flag(copyConfirmed, c.Confirmed)
}

func readCopy(b []byte, now float64) (c Copy, err error) {
	err = readFields(b, func(field protowire.Number, v value) error {
		switch field {
		case copyID:
			c.ID = string(v.bytes)
		case copyIdempotencyKey:
			c.IdempotencyKey = string(v.bytes)
		case copyClass:
			c.Class = string(v.bytes)
		case copyOrderKey:
			c.OrderKey = string(v.bytes)
		case copyTeam:
			c.Team = string(v.bytes)
		case copySchema:
			c.Schema = string(v.bytes)
		case copyTableGroup:
			c.TableGroup = v.number
		case copyMemoryMB:
			c.MemoryMB = v.float()
		case copyWorkMS:
			c.WorkMS = v.float()
		case copyBody:
			c.Body = clone(v.bytes)
		case copyOwner:
			c.Owner.Name = string(v.bytes)
		case copyIncarnation:
			c.Owner.Incarnation = v.number
		case copySequence:
			c.Sequence = v.number
		case copyOutcome:
			c.Outcome = Outcome(min(v.number, uint64(Unknown)))
		case copyRunState:
			c.RunState = RunState(min(v.number, uint64(Ran)))
		case copyFirstAttempt:
			c.FirstAttemptAt = earliest(now, v.float())
		case copyZone:
			c.Zone = string(v.bytes)
		case copyCell:
			c.Cell = protowire.DecodeZigZag(v.number)
		case copyDeadline:
			c.Deadline = now + v.float()
		case copyAnswer:
			c.Answer = clone(v.bytes)
		case copyComplete:
			c.Complete = v.number != 0
		case copyIdempotent:
			c.Idempotent = v.number != 0
		case copyConfirmed:
			c.Confirmed = v.number != 0
		}
		return nil
	})
	if !c.plausible(now) {
		return c, errMalformed
	}
	return c, err
}

// plausible reports whether the numbers of a copy that was read are numbers, and its deadline one that there can be.
func (c *Copy) plausible(now float64) bool {
	if math.IsNaN(c.FirstAttemptAt) || math.IsNaN(c.MemoryMB+c.WorkMS) {
		return false
	}
	return c.Deadline >= now-maxTimeDistanceMS && c.Deadline <= now+maxTimeDistanceMS
}

func (it *Item) append(w *writer, now float64) {
	w.number(itemOp, uint64(it.Op))
	if it.Key != (Key{}) {
		w.bytes(itemKey, it.Key[:])
	}
	w.number(itemSequence, it.Sequence)
	if it.Copy != nil {
		var c writer
		it.Copy.append(&c, now)
		w.bytes(itemCopy, c)
	}
	w.number(itemRunState, uint64(it.RunState))
	w.float(itemFirstAttempt, age(now, it.FirstAttemptAt))
	w.text(itemZone, it.Zone)
	w.number(itemCell, protowire.EncodeZigZag(it.Cell))
	w.number(itemOutcome, uint64(it.Outcome))
	w.bytes(itemAnswer, it.Answer)
	w.text(itemFrom, it.From.Name)
	w.number(itemIncarnation, it.From.Incarnation)
	w.number(itemPartition, uint64(it.Partition))
	if it.After != (Key{}) {
		w.bytes(itemAfter, it.After[:])
	}
	w.flag(itemMore, it.More)
	w.text(itemReason, it.Reason)
	for i := range it.Copies {
		var c writer
		it.Copies[i].append(&c, now)
		w.bytes(itemCopies, c)
	}
}

func readItem(b []byte, now float64) (it Item, err error) {
	err = readFields(b, func(field protowire.Number, v value) error {
		switch field {
		case itemOp:
			it.Op = Op(min(v.number, maxOp))
		case itemKey:
			copy(it.Key[:], v.bytes)
		case itemSequence:
			it.Sequence = v.number
		case itemCopy:
			c, err := readCopy(v.bytes, now)
			it.Copy = &c
			return err
		case itemRunState:
			it.RunState = RunState(min(v.number, uint64(Ran)))
		case itemFirstAttempt:
			it.FirstAttemptAt = earliest(now, v.float())
		case itemZone:
			it.Zone = string(v.bytes)
		case itemCell:
			it.Cell = protowire.DecodeZigZag(v.number)
		case itemOutcome:
			it.Outcome = Outcome(min(v.number, uint64(Unknown)))
		case itemAnswer:
			it.Answer = clone(v.bytes)
		case itemFrom:
			it.From.Name = string(v.bytes)
		case itemIncarnation:
			it.From.Incarnation = v.number
		case itemPartition:
			it.Partition = int(min(v.number, maxPartition))
		case itemAfter:
			copy(it.After[:], v.bytes)
		case itemMore:
			it.More = v.number != 0
		case itemReason:
			it.Reason = string(v.bytes)
		case itemCopies:
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

// Append appends the batch to out, with times in ms from now, and returns the result.
func (b *Batch) Append(out []byte, now float64) []byte {
	w := writer(out)
	w.text(batchFrom, b.From.Name)
	w.number(batchIncarnation, b.From.Incarnation)
	w.number(batchVersion, b.Version)
	w.number(batchPlacementStep, b.PlacementStep)
	w.flag(batchStalePlacement, b.StalePlacement)
	for i := range b.Items {
		var item writer
		b.Items[i].append(&item, now)
		w.bytes(batchItem, item)
	}
	return w
}

// ReadBatch reads a batch that was received now.
func ReadBatch(data []byte, now float64) (*Batch, error) {
	b := &Batch{}
	err := readFields(data, func(field protowire.Number, v value) error {
		switch field {
		case batchFrom:
			b.From.Name = string(v.bytes)
		case batchIncarnation:
			b.From.Incarnation = v.number
		case batchVersion:
			b.Version = v.number
		case batchPlacementStep:
			b.PlacementStep = v.number
		case batchStalePlacement:
			b.StalePlacement = v.number != 0
		case batchItem:
			it, err := readItem(v.bytes, now)
			b.Items = append(b.Items, it)
			return err
		}
		return nil
	})
	return b, err
}

// AppendCopy appends a copy to out for a disk, with times in ms from now, and returns the result.
func AppendCopy(out []byte, c *Copy, now float64) []byte {
	w := writer(out)
	c.append(&w, now)
	return w
}

// ReadCopy reads what AppendCopy wrote, with its times counted from now.
func ReadCopy(data []byte, now float64) (Copy, error) { return readCopy(data, now) }

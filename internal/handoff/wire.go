package handoff

import (
	"errors"
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

// errMalformed is returned for data that is not a valid batch or copy. It is sent back to the peer that sent the batch;
// its text must not change.
var errMalformed = errors.New("estate: a batch that can't be read")

// The field numbers are part of the format of stored copies and of messages between controllers. They must not change.
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
	itemStoreUntil   protowire.Number = 18
	itemBaseSequence protowire.Number = 19

	batchFrom           protowire.Number = 1
	batchIncarnation    protowire.Number = 2
	batchVersion        protowire.Number = 3
	batchPlacementStep  protowire.Number = 4
	batchStalePlacement protowire.Number = 5
	batchItem           protowire.Number = 6
	batchClock          protowire.Number = 7
	batchStoreUntil     protowire.Number = 8
)

// Bounds of decoded values, which a faulty peer may send out of range.
const (
	maxTimeDistanceMS = 1e12    // of a deadline from now
	maxOp             = 255     // the largest Op
	maxPartition      = 1 << 16 // converted to an int; applyItem checks the range
	minAgeMS          = 1e-3    // of an attempt; the age 0 stands for none
)

// ageAt returns the age in ms that a time has at now. Times of attempts are sent as ages because the clocks of two
// controllers differ. The time 0, which stands for none, has the age 0.
func ageAt(now, at float64) float64 {
	if at == 0 {
		return 0
	}
	return max(now-at, minAgeMS)
}

// earliestTime returns the earliest time that a received age can stand for, as the message may have been in transit for
// up to ageUncertaintyMS. The age 0 stands for no time, which is 0.
func earliestTime(now, age float64) float64 {
	if age == 0 {
		return 0
	}
	return now - age - ageUncertaintyMS
}

// append appends the fields of a copy. Times are encoded relative to now.
func (c *Copy) append(fields *writer, now float64) {
	fields.text(copyID, c.ID)
	fields.text(copyIdempotencyKey, c.IdempotencyKey)
	fields.text(copyClass, c.Class)
	fields.text(copyOrderKey, c.OrderKey)
	fields.text(copyTeam, c.Team)
	fields.text(copySchema, c.Schema)
	fields.number(copyTableGroup, c.TableGroup)
	fields.float(copyMemoryMB, c.MemoryMB)
	fields.float(copyWorkMS, c.WorkMS)
	fields.bytes(copyBody, c.Body)
	fields.text(copyOwner, c.Owner.Name)
	fields.number(copyIncarnation, c.Owner.Incarnation)
	fields.number(copySequence, c.Sequence)
	fields.number(copyOutcome, uint64(c.Outcome))
	fields.number(copyRunState, uint64(c.RunState))
	fields.float(copyFirstAttempt, ageAt(now, c.FirstAttemptAt))
	fields.text(copyZone, c.Zone)
	fields.number(copyCell, protowire.EncodeZigZag(c.Cell))
	fields.float(copyDeadline, c.Deadline-now)
	fields.bytes(copyAnswer, c.Answer)
	fields.flag(copyComplete, c.Complete)
	fields.flag(copyIdempotent, c.Idempotent)
	fields.flag(copyConfirmed, c.Confirmed)
}

// readCopy decodes a copy whose times are relative to now. It returns errMalformed if data cannot be decoded or a
// number is out of range.
func readCopy(data []byte, now float64) (parsed Copy, err error) {
	err = readFields(data, func(field protowire.Number, val value) error {
		switch field {
		case copyID:
			parsed.ID = string(val.bytes)
		case copyIdempotencyKey:
			parsed.IdempotencyKey = string(val.bytes)
		case copyClass:
			parsed.Class = string(val.bytes)
		case copyOrderKey:
			parsed.OrderKey = string(val.bytes)
		case copyTeam:
			parsed.Team = string(val.bytes)
		case copySchema:
			parsed.Schema = string(val.bytes)
		case copyTableGroup:
			parsed.TableGroup = val.number
		case copyMemoryMB:
			parsed.MemoryMB = val.float()
		case copyWorkMS:
			parsed.WorkMS = val.float()
		case copyBody:
			parsed.Body = clone(val.bytes)
		case copyOwner:
			parsed.Owner.Name = string(val.bytes)
		case copyIncarnation:
			parsed.Owner.Incarnation = val.number
		case copySequence:
			parsed.Sequence = val.number
		case copyOutcome:
			parsed.Outcome = Outcome(min(val.number, uint64(Unknown)))
		case copyRunState:
			parsed.RunState = RunState(min(val.number, uint64(Ran)))
		case copyFirstAttempt:
			parsed.FirstAttemptAt = earliestTime(now, val.float())
		case copyZone:
			parsed.Zone = string(val.bytes)
		case copyCell:
			parsed.Cell = protowire.DecodeZigZag(val.number)
		case copyDeadline:
			parsed.Deadline = now + val.float()
		case copyAnswer:
			parsed.Answer = clone(val.bytes)
		case copyComplete:
			parsed.Complete = val.number != 0
		case copyIdempotent:
			parsed.Idempotent = val.number != 0
		case copyConfirmed:
			parsed.Confirmed = val.number != 0
		}
		return nil
	})
	if !parsed.hasValidNumbers(now) {
		return parsed, errMalformed
	}
	return parsed, err
}

// hasValidNumbers reports whether no number of a decoded copy is NaN and its deadline is within maxTimeDistanceMS from
// now.
func (c *Copy) hasValidNumbers(now float64) bool {
	if math.IsNaN(c.FirstAttemptAt) || math.IsNaN(c.MemoryMB+c.WorkMS) {
		return false
	}
	return c.Deadline >= now-maxTimeDistanceMS && c.Deadline <= now+maxTimeDistanceMS
}

// append appends the fields of an item. Times are encoded relative to now.
func (item *Item) append(fields *writer, now float64) {
	fields.number(itemOp, uint64(item.Op))
	if item.Key != (Key{}) {
		fields.bytes(itemKey, item.Key[:])
	}
	fields.number(itemSequence, item.Sequence)
	if item.Copy != nil {
		var encoded writer
		item.Copy.append(&encoded, now)
		fields.bytes(itemCopy, encoded)
	}
	fields.number(itemRunState, uint64(item.RunState))
	fields.float(itemFirstAttempt, ageAt(now, item.FirstAttemptAt))
	fields.text(itemZone, item.Zone)
	fields.number(itemCell, protowire.EncodeZigZag(item.Cell))
	fields.number(itemOutcome, uint64(item.Outcome))
	fields.bytes(itemAnswer, item.Answer)
	fields.text(itemFrom, item.From.Name)
	fields.number(itemIncarnation, item.From.Incarnation)
	fields.number(itemPartition, uint64(item.Partition))
	if item.After != (Key{}) {
		fields.bytes(itemAfter, item.After[:])
	}
	fields.flag(itemMore, item.More)
	fields.text(itemReason, item.Reason)
	for i := range item.Copies {
		var encoded writer
		item.Copies[i].append(&encoded, now)
		fields.bytes(itemCopies, encoded)
	}
	fields.float(itemStoreUntil, item.StoreUntil)
	fields.number(itemBaseSequence, item.BaseSequence)
}

// readItem decodes an item whose times are relative to now. It returns errMalformed if data cannot be decoded or a
// number is out of range.
func readItem(data []byte, now float64) (item Item, err error) {
	err = readFields(data, func(field protowire.Number, val value) error {
		switch field {
		case itemOp:
			item.Op = Op(min(val.number, maxOp))
		case itemKey:
			copy(item.Key[:], val.bytes)
		case itemSequence:
			item.Sequence = val.number
		case itemCopy:
			parsed, err := readCopy(val.bytes, now)
			item.Copy = &parsed
			return err
		case itemRunState:
			item.RunState = RunState(min(val.number, uint64(Ran)))
		case itemFirstAttempt:
			item.FirstAttemptAt = earliestTime(now, val.float())
		case itemZone:
			item.Zone = string(val.bytes)
		case itemCell:
			item.Cell = protowire.DecodeZigZag(val.number)
		case itemOutcome:
			item.Outcome = Outcome(min(val.number, uint64(Unknown)))
		case itemAnswer:
			item.Answer = clone(val.bytes)
		case itemFrom:
			item.From.Name = string(val.bytes)
		case itemIncarnation:
			item.From.Incarnation = val.number
		case itemPartition:
			item.Partition = int(min(val.number, maxPartition))
		case itemAfter:
			copy(item.After[:], val.bytes)
		case itemMore:
			item.More = val.number != 0
		case itemReason:
			item.Reason = string(val.bytes)
		case itemCopies:
			parsed, err := readCopy(val.bytes, now)
			item.Copies = append(item.Copies, parsed)
			return err
		case itemStoreUntil:
			item.StoreUntil = val.float()
		case itemBaseSequence:
			item.BaseSequence = val.number
		}
		return nil
	})
	if math.IsNaN(item.FirstAttemptAt + item.StoreUntil) {
		return item, errMalformed
	}
	return item, err
}

// Append appends the encoded batch to out and returns the result. Times are encoded relative to now, in ms.
func (b *Batch) Append(out []byte, now float64) []byte {
	fields := writer(out)
	fields.text(batchFrom, b.From.Name)
	fields.number(batchIncarnation, b.From.Incarnation)
	fields.number(batchVersion, b.Version)
	fields.number(batchPlacementStep, b.PlacementStep)
	fields.flag(batchStalePlacement, b.StalePlacement)
	for i := range b.Items {
		var item writer
		b.Items[i].append(&item, now)
		fields.bytes(batchItem, item)
	}
	fields.float(batchClock, b.Clock)
	fields.float(batchStoreUntil, b.StoreUntil)
	return fields
}

// AppendDelay appends to the encoded batch that it is sent some ms after it was encoded, so that the limit on its
// attempt records counts from now on. The value that is read last replaces the one before.
func (b *Batch) AppendDelay(out []byte, delayMS float64) []byte {
	if b.StoreUntil == 0 {
		return out
	}
	fields := writer(out)
	fields.float(batchStoreUntil, b.StoreUntil+delayMS)
	return fields
}

// ReadBatch decodes a batch that was received at the time now, in ms. Times in it are converted to the receiver's
// clock.
func ReadBatch(data []byte, now float64) (*Batch, error) {
	batch := &Batch{}
	err := readFields(data, func(field protowire.Number, val value) error {
		switch field {
		case batchFrom:
			batch.From.Name = string(val.bytes)
		case batchIncarnation:
			batch.From.Incarnation = val.number
		case batchVersion:
			batch.Version = val.number
		case batchPlacementStep:
			batch.PlacementStep = val.number
		case batchStalePlacement:
			batch.StalePlacement = val.number != 0
		case batchItem:
			item, err := readItem(val.bytes, now)
			batch.Items = append(batch.Items, item)
			return err
		case batchClock:
			batch.Clock = val.float()
		case batchStoreUntil:
			batch.StoreUntil = val.float()
		}
		return nil
	})
	if math.IsNaN(batch.Clock+batch.StoreUntil) || math.IsInf(batch.Clock, 0) {
		return batch, errMalformed
	}
	return batch, err
}

// AppendCopy appends a copy to out as it is stored on disk, and returns the result. Times are encoded relative to now,
// in ms.
func AppendCopy(out []byte, c *Copy, now float64) []byte {
	fields := writer(out)
	c.append(&fields, now)
	return fields
}

// ReadCopy decodes a copy that AppendCopy encoded. Its times are taken as relative to now, however long ago it was
// written.
func ReadCopy(data []byte, now float64) (Copy, error) { return readCopy(data, now) }

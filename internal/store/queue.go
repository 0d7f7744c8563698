package store

// Notifier receives the outcome of a batch. Stored is called on the store's commit goroutine and must not block.
type Notifier interface{ Stored(token uint64, err error) }

// Batch is a group of records that take effect atomically. It may be reused after Append has returned.
type Batch struct {
	bytes []byte // encoded records
	ends  []int  // end offset of each record in bytes
}

// Reset empties the batch and keeps its memory.
func (b *Batch) Reset() { b.bytes, b.ends = b.bytes[:0], b.ends[:0] }

// Len returns the number of records.
func (b *Batch) Len() int { return len(b.ends) }

// Put adds a record that expires at a time in ms, or never if expires is 0.
func (b *Batch) Put(key Key, expires int64, value []byte) { b.add(putRecord, key, expires, value) }

// Delete adds the deletion of the record under a key.
func (b *Batch) Delete(key Key) { b.add(deleteRecord, key, 0, nil) }

func (b *Batch) add(kind byte, key Key, expires int64, value []byte) {
	if n := len(b.ends); n > 0 { // the previous record is no longer the last of the batch
		start := 0
		if n > 1 {
			start = b.ends[n-2]
		}
		b.bytes[start+8] |= moreFollows
	}
	b.bytes = appendRecord(b.bytes, kind, key, expires, value)
	b.ends = append(b.ends, len(b.bytes))
}

// check returns ErrTooLong if the batch does not fit into a segment or one of its values is longer than MaxValue.
func (b *Batch) check(segmentBytes int64) error {
	if int64(len(b.bytes)) > segmentBytes-headerSize {
		return ErrTooLong
	}
	start := 0
	for _, end := range b.ends {
		if end-start-recordHeaderSize > MaxValue {
			return ErrTooLong
		}
		start = end
	}
	return nil
}

// queue holds batches that are to be committed, with their encoded records in one buffer.
type queue struct {
	bytes   []byte
	ends    []int // end offset of each record in bytes
	batches []queuedBatch
}

// queuedBatch is a batch in a queue. It extends from the end of the batch before it to endRecord and endByte.
type queuedBatch struct {
	endRecord, endByte int
	notifier           Notifier
	token              uint64
}

func (q *queue) reset() { q.bytes, q.ends, q.batches = q.bytes[:0], q.ends[:0], q.batches[:0] }

func (q *queue) add(b *Batch, notifier Notifier, token uint64) {
	start := len(q.bytes)
	q.bytes = append(q.bytes, b.bytes...)
	for _, end := range b.ends {
		q.ends = append(q.ends, start+end)
	}
	q.batches = append(q.batches, queuedBatch{
		endRecord: len(q.ends), endByte: len(q.bytes), notifier: notifier, token: token,
	})
}

// Append queues a batch and never waits for the disk. The time now is in ms and advances the clock of the store. The
// notifier, if not nil, receives the outcome with the token; a batch without a notifier is written within
// Options.FlushDelay. An error means that nothing was queued.
func (s *Store) Append(now int64, b *Batch, notifier Notifier, token uint64) error {
	if err := b.check(s.options.SegmentBytes); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return ErrClosed
	}
	if len(s.queued.bytes)+len(b.bytes) > s.options.MaxQueuedBytes {
		return ErrFull
	}
	s.now = max(s.now, now)
	s.queued.add(b, notifier, token)
	if notifier != nil && !s.flushWanted {
		s.flushWanted = true
		s.wake.Signal()
	}
	return nil
}

// Advance moves the clock of the store, by which records expire, forward to a time in ms. An earlier time has no
// effect.
func (s *Store) Advance(now int64) {
	s.mu.Lock()
	s.now = max(s.now, now)
	s.mu.Unlock()
}

// waiter is a Notifier that delivers the outcome of one batch on a channel.
type waiter chan error

// Stored implements Notifier.
func (w waiter) Stored(_ uint64, err error) { w <- err }

// Write appends a batch and waits until it is durable or has failed.
func (s *Store) Write(now int64, b *Batch) error {
	outcome := make(waiter, 1)
	if err := s.Append(now, b, outcome, 0); err != nil {
		return err
	}
	return <-outcome
}

package store

// Notifier learns what became of a batch, from the store's goroutine. It must not wait.
type Notifier interface{ Stored(token uint64, err error) }

// Batch is a group of records that take effect together. It may be used again after Append.
type Batch struct {
	bytes []byte
	ends  []int // behind each record
}

// Reset empties a batch.
func (b *Batch) Reset() { b.bytes, b.ends = b.bytes[:0], b.ends[:0] }

// Len returns the number of records.
func (b *Batch) Len() int { return len(b.ends) }

// Put adds a record that expires at a time in ms; 0: never.
func (b *Batch) Put(key Key, expires int64, value []byte) { b.add(putRecord, key, expires, value) }

// Delete adds the deletion of a record.
func (b *Batch) Delete(key Key) { b.add(deleteRecord, key, 0, nil) }

func (b *Batch) add(kind byte, key Key, expires int64, value []byte) {
	if n := len(b.ends); n > 0 { // the one before is not the last any more
		start := 0
		if n > 1 {
			start = b.ends[n-2]
		}
		b.bytes[start+8] |= moreFollows
	}
	b.bytes = appendRecord(b.bytes, kind, key, expires, value)
	b.ends = append(b.ends, len(b.bytes))
}

// check returns ErrTooLong where a batch or one of its values does not fit into a segment.
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

// queue holds the batches that wait to be written, their bytes one behind the other.
type queue struct {
	bytes   []byte
	ends    []int // behind each record
	batches []queuedBatch
}

type queuedBatch struct {
	records, bytes int // of the queue, up to the end of this batch
	notifier       Notifier
	token          uint64
}

func (q *queue) reset() { q.bytes, q.ends, q.batches = q.bytes[:0], q.ends[:0], q.batches[:0] }

func (q *queue) add(b *Batch, notifier Notifier, token uint64) {
	start := len(q.bytes)
	q.bytes = append(q.bytes, b.bytes...)
	for _, end := range b.ends {
		q.ends = append(q.ends, start+end)
	}
	q.batches = append(q.batches, queuedBatch{records: len(q.ends), bytes: len(q.bytes), notifier: notifier, token: token})
}

// Append queues a batch at a time in ms and never waits for the disk. The notifier, if there is one, learns what became of it;
// without one the batch is written within Options.FlushDelay. An error means that nothing was queued.
func (s *Store) Append(now int64, b *Batch, notifier Notifier, token uint64) error {
	if err := b.check(s.options.SegmentBytes); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return ErrClosed
	}
	if len(s.queued.bytes)+len(b.bytes) > s.options.MaxWaiting {
		return ErrFull
	}
	s.now = max(s.now, now)
	s.queued.add(b, notifier, token)
	if notifier != nil && !s.flush {
		s.flush = true
		s.wake.Signal()
	}
	return nil
}

// Advance sets the time in ms, by which records expire.
func (s *Store) Advance(now int64) {
	s.mu.Lock()
	s.now = max(s.now, now)
	s.mu.Unlock()
}

type waiter chan error

// Stored implements Notifier.
func (w waiter) Stored(_ uint64, err error) { w <- err }

// Write appends a batch and waits until it is durable.
func (s *Store) Write(now int64, b *Batch) error {
	w := make(waiter, 1)
	if err := s.Append(now, b, w, 0); err != nil {
		return err
	}
	return <-w
}

package operatorconfig

import "time"

// Store is the block store.
type Store struct {
	Directory    string
	SegmentBytes int64
	FlushDelay   time.Duration

	RememberMS     float64 // for which an idempotency key is kept past its window
	MaxAnswerBytes int     // longer answers are not kept
	MaxRecords     int     // of keys, and of requests
}

// storeBlock is what may stand in the block store.
var storeBlock = &block{fields: []field{
	{name: "directory", kind: text, required: true, help: "folder of the store; no other process may use it"},
	{name: "segment", kind: size, min: 64 * kiB, max: 256 * miB, usual: 4 * miB, help: "bytes of one log file"},
	{name: "lag", kind: duration, min: 1, max: 1000, usual: 50, help: "longest time that a record which no attempt waits for stays unwritten"},
	{name: "remember", kind: duration, min: 1000, max: 7 * dayMS, usual: 600e3, help: "how long an idempotency key is kept past the window of its class"},
	{name: "keep_answers", kind: size, min: 0, max: 48 * kiB, usual: 4 * kiB, help: "longest answer that is kept with its key"},
	{name: "most_kept", kind: whole, min: 1000, max: 10e6, usual: 200e3, help: "keys, and requests, that are kept at most"},
}}

func newStore(v values) *Store {
	return &Store{
		Directory:      v.texts["directory"],
		SegmentBytes:   int64(v.nums["segment"]),
		FlushDelay:     time.Duration(v.nums["lag"] * float64(time.Millisecond)),
		RememberMS:     v.nums["remember"],
		MaxAnswerBytes: int(v.nums["keep_answers"]),
		MaxRecords:     int(v.nums["most_kept"]),
	}
}

// sameFiles tells whether two keep the same files in the same way.
func (s *Store) sameFiles(o *Store) bool {
	return s.Directory == o.Directory && s.SegmentBytes == o.SegmentBytes && s.FlushDelay == o.FlushDelay
}

package operatorconfig

import "time"

// Store holds the settings of the block store.
type Store struct {
	Directory    string
	SegmentBytes int64         // size of one log file
	FlushDelay   time.Duration // longest time that a record which no attempt waits for stays unwritten

	RetentionMS    float64 // how long an idempotency key is kept past the deduplication window of its class
	MaxAnswerBytes int     // longer answers are not kept
	MaxRecords     int     // limit of keys, and of requests
}

// storeSchema describes the block store.
var storeSchema = &blockSchema{fields: []fieldSchema{
	{name: "directory", kind: stringKind, required: true,
		help: "directory of the store; no other process may use it"},
	{name: "segment", kind: sizeKind, min: 64 * kiB, max: 256 * miB, defaultValue: 4 * miB,
		help: "size of one log file"},
	{name: "lag", kind: durationKind, min: 1, max: 1000, defaultValue: 50,
		help: "longest time that a record which no attempt waits for stays unwritten"},
	{name: "remember", kind: durationKind, min: 1000, max: 7 * dayMS, defaultValue: 600e3,
		help: "how long an idempotency key is kept past the window of its class"},
	{name: "keep_answers", kind: sizeKind, min: 0, max: 48 * kiB, defaultValue: 4 * kiB,
		help: "longest answer that is kept with its key"},
	{name: "most_kept", kind: integerKind, min: 1000, max: 10e6, defaultValue: 200e3,
		help: "limit of the keys, and of the requests, that are kept"},
}}

func newStore(v blockValues) *Store {
	return &Store{
		Directory:      v.strings["directory"],
		SegmentBytes:   int64(v.numbers["segment"]),
		FlushDelay:     time.Duration(v.numbers["lag"] * float64(time.Millisecond)),
		RetentionMS:    v.numbers["remember"],
		MaxAnswerBytes: int(v.numbers["keep_answers"]),
		MaxRecords:     int(v.numbers["most_kept"]),
	}
}

// sameFiles reports whether both blocks keep the same files in the same way. The other settings may change at a reload.
func (s *Store) sameFiles(other *Store) bool {
	return s.Directory == other.Directory && s.SegmentBytes == other.SegmentBytes && s.FlushDelay == other.FlushDelay
}

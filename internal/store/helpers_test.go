package store

import (
	"crypto/sha256"
	"encoding/binary"
	"flag"
	"fmt"
	"hash/crc32"
	"maps"

	"github.com/stretchr/testify/require"

	"liftshift/internal/vfs"
)

// testKey returns the key of a number, evenly distributed as a Key must be.
func testKey(n int) (k Key) {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d", n))
	copy(k[:], sum[:])
	return k
}

// openContents opens a store and returns the records that it passes to visit, with deletions applied.
func openContents(fs vfs.FS, options Options) (*Store, Recovery, map[Key]string, error) {
	contents := map[Key]string{}
	s, recovery, err := Open(fs, options, func(k Key, _ int64, v []byte) {
		if v == nil {
			delete(contents, k)
		} else {
			contents[k] = string(v)
		}
	})
	return s, recovery, contents, err
}

// requireOpen is openContents for a store that must open.
func requireOpen(t require.TestingT, fs vfs.FS, options Options) (*Store, Recovery, map[Key]string) {
	s, recovery, contents, err := openContents(fs, options)
	require.NoError(t, err)
	return s, recovery, contents
}

// writeOne writes a batch of a single record that never expires.
func writeOne(s *Store, n int, text string) error {
	b := &Batch{}
	b.Put(testKey(n), 0, []byte(text))
	return s.Write(0, b)
}

// runWorkload writes puts, deletions, batches of two records, and snapshots until the file system fails. It returns the
// contents after the last batch that was reported as durable, and the contents with the failed batch after it.
func runWorkload(s *Store, steps int) (durable, attempted map[Key]string) {
	durable = map[Key]string{}
	for n := range steps {
		attempted = maps.Clone(durable)
		b := &Batch{}
		switch {
		case n%7 == 6:
			b.Delete(testKey(n - 3))
			delete(attempted, testKey(n-3))
		case n%5 == 4: // overwrites a key, together with a new one
			b.Put(testKey(0), 0, fmt.Appendf(nil, "again %d", n))
			b.Put(testKey(n), 0, fmt.Appendf(nil, "both %d", n))
			attempted[testKey(0)], attempted[testKey(n)] = fmt.Sprintf("again %d", n), fmt.Sprintf("both %d", n)
		default:
			b.Put(testKey(n), 0, fmt.Appendf(nil, "one %d", n))
			attempted[testKey(n)] = fmt.Sprintf("one %d", n)
		}
		if s.Write(int64(n), b) != nil {
			return durable, attempted
		}
		durable = attempted
		if n%9 == 8 && s.Snapshot() != nil {
			return durable, durable
		}
	}
	return durable, durable
}

// withChecksum recomputes the checksum of an encoded header that was changed.
func withChecksum(header []byte) []byte {
	binary.LittleEndian.PutUint32(header[headerSize-4:], crc32.Checksum(header[:headerSize-4], castagnoli))
	return header
}

// init makes rapid draw the same cases in every run and write no failure files. Flags on the command line override
// this.
func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
}

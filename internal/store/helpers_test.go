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

func testKey(n int) (k Key) {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d", n))
	copy(k[:], sum[:])
	return k
}

// openContents opens a store and returns what it hands on.
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

// requireOpen opens a store that must open.
func requireOpen(t require.TestingT, fs vfs.FS, options Options) (*Store, Recovery, map[Key]string) {
	s, recovery, contents, err := openContents(fs, options)
	require.NoError(t, err)
	return s, recovery, contents
}

func writeOne(s *Store, n int, text string) error {
	b := &Batch{}
	b.Put(testKey(n), 0, []byte(text))
	return s.Write(0, b)
}

// workload writes until the file system gives up: puts, deletions, batches of two, and snapshots. It returns what must be there after a
// crash, and what the last batch, which was reported as failed, would have made of it.
func workload(s *Store, steps int) (reported, tried map[Key]string) {
	reported = map[Key]string{}
	for n := range steps {
		tried = maps.Clone(reported)
		b := &Batch{}
		switch {
		case n%7 == 6:
			b.Delete(testKey(n - 3))
			delete(tried, testKey(n-3))
		case n%5 == 4: // the same key again, and another with it
			b.Put(testKey(0), 0, fmt.Appendf(nil, "again %d", n))
			b.Put(testKey(n), 0, fmt.Appendf(nil, "both %d", n))
			tried[testKey(0)], tried[testKey(n)] = fmt.Sprintf("again %d", n), fmt.Sprintf("both %d", n)
		default:
			b.Put(testKey(n), 0, fmt.Appendf(nil, "one %d", n))
			tried[testKey(n)] = fmt.Sprintf("one %d", n)
		}
		if s.Write(int64(n), b) != nil {
			return reported, tried
		}
		reported = tried
		if n%9 == 8 && s.Snapshot() != nil {
			return reported, reported
		}
	}
	return reported, reported
}

// withChecksum gives a header its checksum again.
func withChecksum(h []byte) []byte {
	binary.LittleEndian.PutUint32(h[headerSize-4:], crc32.Checksum(h[:headerSize-4], castagnoli))
	return h
}

// The same cases are drawn in every run, and no files are left behind, unless the command line says otherwise.
func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
}

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

func key(n int) (k Key) {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d", n))
	copy(k[:], sum[:])
	return k
}

// content is what a store hands on at its opening.
func content(fs vfs.FS, bounds Options) (*Store, Recovery, map[Key]string, error) {
	held := map[Key]string{}
	s, found, err := Open(fs, bounds, func(k Key, _ int64, v []byte) {
		if v == nil {
			delete(held, k)
		} else {
			held[k] = string(v)
		}
	})
	return s, found, held, err
}

// opened is an open store that must open.
func opened(t require.TestingT, fs vfs.FS, bounds Options) (*Store, Recovery, map[Key]string) {
	s, found, held, err := content(fs, bounds)
	require.NoError(t, err)
	return s, found, held
}

func write(s *Store, n int, text string) error {
	b := &Batch{}
	b.Put(key(n), 0, []byte(text))
	return s.Write(0, b)
}

// workload writes until the file system gives up: puts, ends, batches of two, and snapshots. It gives what must be
// there after a crash, and what the batch that was told as failed last would have made of it.
func workload(s *Store, steps int) (told, tried map[Key]string) {
	told = map[Key]string{}
	for n := range steps {
		tried = maps.Clone(told)
		b := &Batch{}
		switch {
		case n%7 == 6:
			b.Delete(key(n - 3))
			delete(tried, key(n-3))
		case n%5 == 4: // the same key again, and another with it
			b.Put(key(0), 0, fmt.Appendf(nil, "again %d", n))
			b.Put(key(n), 0, fmt.Appendf(nil, "both %d", n))
			tried[key(0)], tried[key(n)] = fmt.Sprintf("again %d", n), fmt.Sprintf("both %d", n)
		default:
			b.Put(key(n), 0, fmt.Appendf(nil, "one %d", n))
			tried[key(n)] = fmt.Sprintf("one %d", n)
		}
		if s.Write(int64(n), b) != nil {
			return told, tried
		}
		told = tried
		if n%9 == 8 && s.Snapshot() != nil {
			return told, told
		}
	}
	return told, told
}

// resealed gives a head its checksum again.
func resealed(h []byte) []byte {
	binary.LittleEndian.PutUint32(h[headSize-4:], crc32.Checksum(h[:headSize-4], castagnoli))
	return h
}

// The same cases in every run, and no files left behind; the command line may say otherwise.
func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
}

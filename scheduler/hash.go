package scheduler

import "hash/crc32"

// rendezvousRank returns the rank of an executor in the order of a table group. It has no seed: all controllers have one order.
func rendezvousRank(group uint64, executor uint32) uint64 {
	h := (group+1)*0x9E3779B97F4A7C15 ^ (uint64(executor)+1)*0xC2B2AE3D27D4EB4F
	h = (h ^ h>>30) * 0xBF58476D1CE4E5B9
	h = (h ^ h>>27) * 0x94D049BB133111EB
	return h ^ h>>31
}

// random returns the next random number from 0 up to 1.
func (s *Scheduler) random() float64 {
	s.randomDraws++
	return s.randomAt(uint64(s.randomDraws))
}

// randomAt returns the random number from 0 up to 1 that belongs to n, the same one each time.
func (s *Scheduler) randomAt(n uint64) float64 {
	var b [16]byte
	for i := range 8 {
		b[i] = byte(s.seed >> (8 * i))
		b[8+i] = byte(n >> (8 * i))
	}
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

package scheduler

import "hash/crc32"

// Odd 64-bit multipliers of rendezvousRank. The last two belong to the finalizer of SplitMix64.
const (
	groupMultiplier    = 0x9E3779B97F4A7C15
	executorMultiplier = 0xC2B2AE3D27D4EB4F
	mixMultiplier1     = 0xBF58476D1CE4E5B9
	mixMultiplier2     = 0x94D049BB133111EB
)

// rendezvousRank returns the rank of an executor in the order of a table group; the highest rank comes first. It uses
// no seed, so that all controllers compute the same order.
func rendezvousRank(group uint64, executor uint32) uint64 {
	hash := (group+1)*groupMultiplier ^ (uint64(executor)+1)*executorMultiplier
	hash = (hash ^ hash>>30) * mixMultiplier1
	hash = (hash ^ hash>>27) * mixMultiplier2
	return hash ^ hash>>31
}

// random returns the next pseudo-random number in [0, 1).
func (s *Scheduler) random() float64 {
	s.randomDraws++
	return s.randomAt(uint64(s.randomDraws))
}

// randomAt returns the pseudo-random number in [0, 1) at a position of the sequence that the seed defines.
func (s *Scheduler) randomAt(position uint64) float64 {
	var input [16]byte
	for i := range 8 {
		input[i] = byte(s.seed >> (8 * i))
		input[8+i] = byte(position >> (8 * i))
	}
	return float64(crc32.ChecksumIEEE(input[:])) / (1 << 32)
}

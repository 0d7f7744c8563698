package scheduler

import "hash/crc32"

// order hashes a group and an executor, without a seed: the same rank at every controller.
func order(group uint64, id uint32) uint64 {
	h := (group+1)*0x9E3779B97F4A7C15 ^ (uint64(id)+1)*0xC2B2AE3D27D4EB4F
	h = (h ^ h>>30) * 0xBF58476D1CE4E5B9
	h = (h ^ h>>27) * 0x94D049BB133111EB
	return h ^ h>>31
}

// random draws a number from 0 up to 1.
func (s *Scheduler) random() float64 {
	s.randomDraws++
	return s.randomAt(uint64(s.randomDraws))
}

// randomAt is the number from 0 up to 1 that stands at n.
func (s *Scheduler) randomAt(n uint64) float64 {
	var b [16]byte
	for k := range 8 {
		b[k] = byte(s.seed >> (8 * k))
	}
	for k := range 8 {
		b[8+k] = byte(n >> (8 * k))
	}
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

// count is 1 for what is true.
func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

package scheduler

// offering is what is known of one offering: what the settings say, and what was learned.
type classState struct {
	name                                string
	effect                              Effect
	dedupScope                          DedupScope
	dedupWindowMS                       float64
	softDeadlineMS, softDeadlineStretch float64
	value, lateShare                    float64
	inOrder                             bool
	holdsGroup, blockedByHolders        bool // holds its table group while it runs; stands still behind one that does
	threads                             int
	kinds, zones                        []string

	usualWorkMS     float64 // usual work, ms
	arrivals        float64 // requests that it was learnt from
	slowdown        float64 // running time over work per thread, lately
	memoryFactor    float64 // memory to grant for each MB estimated
	actualWorkMS    float64 // work told by answers, fading
	estimatedWorkMS float64 // the estimates of the same requests, fading
}

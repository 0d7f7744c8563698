package scheduler

// offering is what is known of one offering: what the settings say, and what was learned.
type offering struct {
	name          string
	effect        Effect
	scope         DedupScope
	window        float64
	due, stretch  float64
	gain, late    float64
	inOrder       bool
	holds, behind bool // holds its table group while it runs; stands still behind one that does
	threads       int
	kinds, places []string

	usual     float64 // usual work, ms
	taken     float64 // requests that it was learnt from
	slow      float64 // running time over work per thread, lately
	memory    float64 // memory to grant for each MB estimated
	worked    float64 // work told by answers, fading
	estimated float64 // the estimates of the same requests, fading
}

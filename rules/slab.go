package rules

// mostShots is the room for shots in one place of the slab.
const mostShots = 8

// shot is one attempt at a search.
type shot struct {
	executor int // index into Gateway.executors
	sent     float64
	noted    float64 // clock of the last note, or of sending
	ran      float64 // running time so far, waiting left out
	share    float64 // share done, as last noted
	grant    float64
	threads  int
	waits    NoteKind // 0: runs; else Waits
	waitsFor float64  // 1 memory, 2 a load
	spilled  bool
	out      bool // no outcome yet
	doubt    bool // out, or ended without proof that it never ran
}

// search is one place of the slab.
type search struct {
	id       string
	key      string
	offering int
	group    uint64
	need     float64
	work     float64 // estimated work of all threads, corrected, ms
	seq      uint64  // order of taking
	taken    float64
	due      float64
	until    float64
	p        float64 // the paper's priority
	quanta   int     // quanta of running time already counted
	level    int
	shots    [mostShots]shot
	fired    int
	out      int // shots without an outcome
	state    state
	recalls  int
	used     bool
	bound    bool // a stream has begun: the client owns it
}

// slab keeps the searches in hand and reuses their places.
type slab struct {
	places []search
	free   []int
	byID   map[string]int
}

func newSlab() slab { return slab{byID: make(map[string]int)} }

// take gives a cleared place for id.
func (s *slab) take(id string) int {
	var i int
	if n := len(s.free); n > 0 {
		i = s.free[n-1]
		s.free = s.free[:n-1]
	} else {
		i = len(s.places)
		s.places = append(s.places, search{})
	}
	s.places[i] = search{id: id, used: true}
	s.byID[id] = i
	return i
}

// drop frees the place at i.
func (s *slab) drop(i int) {
	delete(s.byID, s.places[i].id)
	s.places[i] = search{}
	s.free = append(s.free, i)
}

// find returns the place of id.
func (s *slab) find(id string) (int, bool) {
	i, ok := s.byID[id]
	return i, ok
}

// span is a queue of dated amounts, oldest first, that forgets what is older than it is asked to keep.
type span struct {
	at     []float64
	amount []float64
	head   int
	sum    float64
}

func (s *span) add(now, amount float64) {
	if s.head > 64 && s.head*2 > len(s.at) {
		s.at = s.at[:copy(s.at, s.at[s.head:])]
		s.amount = s.amount[:copy(s.amount, s.amount[s.head:])]
		s.head = 0
	}
	s.at = append(s.at, now)
	s.amount = append(s.amount, amount)
	s.sum += amount
}

// forget drops what is dated before.
func (s *span) forget(before float64) {
	for s.head < len(s.at) && s.at[s.head] < before {
		s.sum -= s.amount[s.head]
		s.head++
	}
	if s.head == len(s.at) {
		s.at, s.amount, s.head, s.sum = s.at[:0], s.amount[:0], 0, 0
	}
}

func (s *span) count() int      { return len(s.at) - s.head }
func (s *span) live() []float64 { return s.amount[s.head:] }
func (s *span) total() float64  { return s.sum }

// offering is what is known of one offering: what the settings say, and what was learned.
type offering struct {
	name, effect, scope string
	window              float64
	due, stretch        float64
	gain, late          float64
	inOrder             bool
	holds, behind       bool // holds its table group while it runs; stands still behind one that does
	threads             int
	kinds, places       []string

	usual     float64 // usual work, ms
	slow      float64 // running time over work per thread, lately
	memory    float64 // memory to grant for each MB estimated
	worked    float64 // work told by answers, fading
	estimated float64 // the estimates of the same searches, fading
}

// executor is what this instance knows of one executor.
type executor struct {
	id         uint32
	place      string
	kind       string
	cell       int64
	cores, ram float64
	standing   Standing
	upSince    float64
	scarce     bool // some offering may run on no other kind
	state      state
	threads    int     // of this instance's shots there
	memory     float64 // granted to them, MB
	out        int     // shots there without an outcome
	heard      float64 // last sign of work: a note or an outcome
	busySince  float64
	probeOut   bool
	probed     float64 // when the last probe went out
	missed     bool    // the last probe failed
	answers    int     // probes answered in a row
	bad        int     // refusals and breaks in a row
	errs       float64 // share of errors, fading
	pace       float64 // slowness against the other executors
	asideAt    float64
	strikes    int
	restUntil  float64
	coldUntil  float64
	coldSent   span
}

// Gateway is one instance.
type Gateway struct {
	given     Given
	seed      uint64
	draws     uint32
	now       float64
	out       []Action
	slab      slab
	offerings []offering
	executors []executor
	rests     map[string]float64 // order key: rests until
	takes     span
	extras    span
	finished  span // running times of finished searches
	onset     float64
	onsetAt   float64
	target    int  // the executor that the search being placed goes to
	dirty     bool // something changed that may let a waiting search go
	seq       uint64
	waiting   []int
	sorted    []float64
	blocked   []bool
}

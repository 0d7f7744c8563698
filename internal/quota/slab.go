package quota

// none is no place.
const none int32 = -1

// state of a search here.
type state uint8

const (
	queued  state = iota
	offered       // the module has it; nothing of it has left
	running
)

// The lists that a search may stand in.
const (
	inQueue = iota // all that wait
	inLine         // those of its team and offering that wait
	inFresh        // those of its offering that are offered and not sent
	inRun          // all that have been sent, oldest first
	listCount
)

type links struct{ prev, next int32 }

// list is a chain of searches, oldest first.
type list struct{ first, last int32 }

var empty = list{none, none}

// search is one place of the slab.
type search struct {
	id       string
	links    [listCount]links
	leaf     int32
	turn     uint32 // of its place: a later search there has another
	offering int16
	state    state
	counted  bool // takes a place at the module
	trying   bool // offered only if it can be sent at once
	press    pressing
	past     uint8 // later ones that were sent before it
	out      uint8 // shots
	asked    float64
	until    float64
	need     float64
	estimate float64
	cost     float64 // expected, ms of one thread
	mark     float64 // work that had come into its team's lines before it
	charged  float64
	used     float64
	since    float64 // up to which its use is counted
	changed  float64 // when its level was last changed
}

const pageBits = 10

// slab keeps the searches in pages and uses their places again.
type slab struct {
	pages  [][]search
	used   int32
	free   []int32
	byID   map[string]int32
	queued int
}

func (s *slab) at(p int32) *search { return &s.pages[p>>pageBits][p&(1<<pageBits-1)] }

func (s *slab) find(id string) int32 {
	if p, ok := s.byID[id]; ok {
		return p
	}
	return none
}

func (s *slab) take(id string) int32 {
	p := s.used
	if n := len(s.free); n > 0 {
		p, s.free = s.free[n-1], s.free[:n-1]
	} else {
		if s.used++; int(p>>pageBits) >= len(s.pages) {
			s.pages = append(s.pages, make([]search, 1<<pageBits))
		}
	}
	if s.byID == nil {
		s.byID = map[string]int32{}
	}
	s.byID[id] = p
	x := s.at(p)
	*x = search{id: id, turn: x.turn + 1}
	return p
}

func (s *slab) drop(p int32) {
	x := s.at(p)
	delete(s.byID, x.id)
	*x = search{turn: x.turn + 1} // so that nobody takes what was here for what comes
	s.free = append(s.free, p)
}

func (s *slab) append(l *list, in int, p int32) {
	x := s.at(p)
	x.links[in] = links{l.last, none}
	if l.last == none {
		l.first = p
	} else {
		s.at(l.last).links[in].next = p
	}
	l.last = p
}

func (s *slab) remove(l *list, in int, p int32) {
	at := s.at(p).links[in]
	if at.prev == none {
		l.first = at.next
	} else {
		s.at(at.prev).links[in].next = at.next
	}
	if at.next == none {
		l.last = at.prev
	} else {
		s.at(at.next).links[in].prev = at.prev
	}
}

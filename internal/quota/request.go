package quota

// none is no place.
const none int32 = -1

// requestState is where a request stands.
type requestState uint8

const (
	queued  requestState = iota
	offered              // the scheduler has it; no attempt of it was sent
	running
)

// String returns the name of the state.
func (s requestState) String() string {
	return [...]string{queued: "queued", offered: "offered", running: "running"}[s]
}

// The lists that a request may be in.
const (
	listAll     = iota // all that wait
	listOfTeam         // those of its team and class that wait
	listOffered        // all that are offered and not sent
	listRunning        // all that have been sent
	listCount
)

type links struct{ prev, next int32 }

// list is a linked list of requests, oldest first.
type list struct{ first, last int32 }

var empty = list{none, none}

// request is one entry of the slab.
type request struct {
	id               string
	links            [listCount]links
	leaf             int32
	generation       uint32 // of its place: a later request there has another
	class            int16
	state            requestState
	takesSlot        bool // at the scheduler
	trying           bool // it is offered to be sent at once
	cap              capState
	overtakenBy      uint8 // later requests that were sent before it
	inFlight         uint8 // attempts
	queuedAt         float64
	deadline         float64
	memoryMB         float64
	estimateMS       float64 // as the client gave it
	costMS           float64 // expected, of one thread
	enqueuedBeforeMS float64 // work that its team had enqueued before it
	chargedMS        float64
	usedMS           float64
	usedUntil        float64 // time up to which usedMS counts
	capChangedAt     float64
}

const pageBits = 10 // requests of a page: 1024

// slab keeps the requests in pages and uses their places again.
type slab struct {
	pages      [][]request
	placesUsed int32
	free       []int32
	byID       map[string]int32
	queued     int
}

func (s *slab) at(p int32) *request { return &s.pages[p>>pageBits][p&(1<<pageBits-1)] }

func (s *slab) find(id string) int32 {
	if p, ok := s.byID[id]; ok {
		return p
	}
	return none
}

func (s *slab) add(id string) int32 {
	p := s.takePlace()
	if s.byID == nil {
		s.byID = map[string]int32{}
	}
	s.byID[id] = p
	r := s.at(p)
	*r = request{id: id, generation: r.generation + 1}
	return p
}

func (s *slab) takePlace() int32 {
	if n := len(s.free); n > 0 {
		p := s.free[n-1]
		s.free = s.free[:n-1]
		return p
	}
	p := s.placesUsed
	s.placesUsed++
	if int(p>>pageBits) >= len(s.pages) {
		s.pages = append(s.pages, make([]request, 1<<pageBits))
	}
	return p
}

func (s *slab) remove(p int32) {
	r := s.at(p)
	delete(s.byID, r.id)
	*r = request{generation: r.generation + 1} // so that a stale reference to the place shows
	s.free = append(s.free, p)
}

func (s *slab) pushBack(l *list, which int, p int32) {
	s.at(p).links[which] = links{l.last, none}
	if l.last == none {
		l.first = p
	} else {
		s.at(l.last).links[which].next = p
	}
	l.last = p
}

func (s *slab) unlink(l *list, which int, p int32) {
	at := s.at(p).links[which]
	if at.prev == none {
		l.first = at.next
	} else {
		s.at(at.prev).links[which].next = at.next
	}
	if at.next == none {
		l.last = at.prev
	} else {
		s.at(at.next).links[which].prev = at.prev
	}
}

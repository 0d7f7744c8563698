package quota

// none is the index of no request or node.
const none int32 = -1

// requestState is the stage that a request has reached.
type requestState uint8

const (
	queued  requestState = iota
	offered              // handed to the scheduler, which has not sent an attempt yet
	running              // an attempt was sent
)

// String returns the name of the state.
func (s requestState) String() string {
	return [...]string{queued: "queued", offered: "offered", running: "running"}[s]
}

// The linked lists that a request may be in, as indexes of request.links.
const (
	listWaiting   = iota // Tree.waiting
	listTeamQueue        // node.queues: the waiting requests of one team and class
	listOffered          // Tree.offered
	listRunning          // Tree.running
	listCount
)

// links are the slab indexes of a request's neighbours in one list.
type links struct{ prev, next int32 }

// requestList is a doubly linked list of requests, the oldest first.
type requestList struct{ first, last int32 }

var emptyList = requestList{none, none}

// request is an entry of the slab.
type request struct {
	id               string
	links            [listCount]links
	leaf             int32  // index of its team's node
	generation       uint32 // changes whenever the slab entry is taken or released
	class            int16  // index in Tree.classes
	state            requestState
	holdsSlot        bool // it occupies one of the schedulerSlots
	immediatePending bool // an immediate offer of it has not been answered
	capState         capState
	overtakenCount   uint8 // later requests that were sent before it, up to stuckAfter
	attemptsInFlight uint8
	queuedAt         float64
	deadline         float64
	memoryMB         float64
	estimateMS       float64 // the client's estimate
	costMS           float64 // expected work in ms of one thread
	enqueuedBeforeMS float64 // node.enqueuedMS of its team when it arrived
	chargedMS        float64 // work charged to its team so far
	usedMS           float64 // work measured so far
	usedUntil        float64 // time up to which usedMS counts
	capChangedAt     float64
}

const pageBits = 10 // a page of the slab holds 1<<pageBits requests

// slab stores requests in pages of a fixed size and reuses released entries. Requests are referred to by index.
type slab struct {
	pages     [][]request
	allocated int32 // entries taken so far, released ones included
	free      []int32
	byID      map[string]int32
	queued    int // requests in state queued
}

func (s *slab) at(index int32) *request { return &s.pages[index>>pageBits][index&(1<<pageBits-1)] }

// find returns the index of the request with an id, or none.
func (s *slab) find(id string) int32 {
	if index, ok := s.byID[id]; ok {
		return index
	}
	return none
}

// add stores a new request with an id and returns its index.
func (s *slab) add(id string) int32 {
	index := s.allocate()
	if s.byID == nil {
		s.byID = map[string]int32{}
	}
	s.byID[id] = index
	req := s.at(index)
	*req = request{id: id, generation: req.generation + 1}
	return index
}

// allocate returns the index of a released or new entry.
func (s *slab) allocate() int32 {
	if n := len(s.free); n > 0 {
		index := s.free[n-1]
		s.free = s.free[:n-1]
		return index
	}
	index := s.allocated
	s.allocated++
	if int(index>>pageBits) >= len(s.pages) {
		s.pages = append(s.pages, make([]request, 1<<pageBits))
	}
	return index
}

// remove deletes a request and releases its entry.
func (s *slab) remove(index int32) {
	req := s.at(index)
	delete(s.byID, req.id)
	*req = request{generation: req.generation + 1} // marks references to the removed request as stale
	s.free = append(s.free, index)
}

// pushBack appends a request to a list, whose links are at the index which of request.links.
func (s *slab) pushBack(list *requestList, which int, index int32) {
	s.at(index).links[which] = links{list.last, none}
	if list.last == none {
		list.first = index
	} else {
		s.at(list.last).links[which].next = index
	}
	list.last = index
}

// unlink removes a request from a list, whose links are at the index which of request.links.
func (s *slab) unlink(list *requestList, which int, index int32) {
	at := s.at(index).links[which]
	if at.prev == none {
		list.first = at.next
	} else {
		s.at(at.prev).links[which].next = at.next
	}
	if at.next == none {
		list.last = at.prev
	} else {
		s.at(at.next).links[which].prev = at.prev
	}
}

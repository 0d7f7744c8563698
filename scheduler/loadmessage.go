package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// Messages between controllers. The first byte is a tag. A load message goes on with three bytes for each executor with threads
// of the sender: 12 bits of a hash of its id, 6 of threads and 6 of the share of its memory. A levels message goes on with a
// checksum of the listed executors and four bits for the level of each, in the order of their ids.
const (
	loadMessageTag   = 0
	levelsMessageTag = 1

	maxMessageBytes   = 256
	loadEntryBytes    = 3
	maxEntryValue     = 63 // six bits
	maxLevel          = 15 // four bits
	levelsHeaderBytes = 2
)

// peerLoad is what another controller has in flight, as it last reported.
type peerLoad struct {
	receivedAt float64
	entries    []byte
}

// appendLoad appends the entry of an executor to the load message. The share of memory is rounded by chance, so that sums are
// right.
func (s *Scheduler) appendLoad(e *executor, threads int) {
	if threads <= 0 || len(s.loadMessage)+loadEntryBytes > maxMessageBytes {
		return
	}
	share := math.Floor((maxEntryValue+1)*e.grantedMB/e.memoryMB + s.random())
	n := e.tag()<<12 | uint32(min(maxEntryValue, threads))<<6 | uint32(min(maxEntryValue, share))
	s.loadMessage = append(s.loadMessage, byte(n>>16), byte(n>>8), byte(n))
}

// tag returns the 12 bits that stand for an executor in messages.
func (e *executor) tag() uint32 { return e.id * 0x9E3779B1 >> 20 }

// levelsMessageBytes returns the length of a levels message for so many executors.
func levelsMessageBytes(executors int) int { return levelsHeaderBytes + (executors+1)/2 }

// levelsFitMessage reports whether the levels of all listed executors fit a message.
func (s *Scheduler) levelsFitMessage() bool {
	active := 0
	for index := range s.executors {
		if s.executors[index].availability == Active {
			active++
		}
	}
	return levelsMessageBytes(active) <= maxMessageBytes
}

// sendToAggregators sends the load message to the first n controllers and reports whether this is one of them.
func (s *Scheduler) sendToAggregators(n int) bool {
	isAggregator := false
	for peer := range min(n, s.settings.Controllers) {
		if peer == s.settings.ControllerIndex {
			isAggregator = true
			s.receiveLoad(peer, s.loadMessage)
			continue
		}
		s.emit(Action{Kind: SendPeer, Peer: peer, Payload: s.loadMessage})
	}
	return isAggregator
}

// sumPeerLoads adds up what controllers have told of each executor after a time.
func (s *Scheduler) sumPeerLoads(since float64) {
	for index := range s.executors {
		e := &s.executors[index]
		e.peerThreads = 0
		e.peerMemoryShare = 0
	}
	for i := range s.peerLoads {
		peer := &s.peerLoads[i]
		if peer.receivedAt <= since {
			continue
		}
		for entries := peer.entries; len(entries) >= loadEntryBytes; entries = entries[loadEntryBytes:] {
			s.addPeerLoad(uint32(entries[0])<<16 | uint32(entries[1])<<8 | uint32(entries[2]))
		}
	}
}

// addPeerLoad adds one entry of a load message to the executors that it may mean.
func (s *Scheduler) addPeerLoad(entry uint32) {
	for index := range s.executors {
		e := &s.executors[index]
		if e.tag() != entry>>12 {
			continue
		}
		e.peerThreads += float64(entry >> 6 & maxEntryValue)
		e.peerMemoryShare += float64(entry&maxEntryValue) / (maxEntryValue + 1)
	}
}

// activeByID returns the indexes of the listed executors in the order of their ids, and a checksum of which they are.
func (s *Scheduler) activeByID() (ordered []int, checksum byte) {
	for index := range s.executors {
		e := &s.executors[index]
		if e.availability == Active {
			ordered = append(ordered, index)
			checksum += byte(e.tag())
		}
	}
	slices.SortFunc(ordered, func(a, b int) int { return cmp.Compare(s.executors[a].id, s.executors[b].id) })
	return ordered, checksum
}

// publishLevels sends the level of each executor to all controllers, this one among them.
func (s *Scheduler) publishLevels() {
	ordered, checksum := s.activeByID()
	s.levelsMessage = append(s.levelsMessage[:0], levelsMessageTag, checksum)
	for i, index := range ordered {
		level := byte(min(maxLevel, s.executors[index].loadLevel))
		if i%2 == 0 {
			s.levelsMessage = append(s.levelsMessage, level)
		} else {
			s.levelsMessage[len(s.levelsMessage)-1] |= level << 4
		}
	}
	s.emit(Action{Kind: SendPeer, Peer: -1, Payload: s.levelsMessage})
	s.receiveLoad(s.settings.ControllerIndex, s.levelsMessage)
}

// decodeLoadMessage keeps a load message, or reads the levels of the executors that are listed here; it reports whether there are
// new levels. Any other message is passed over.
func (s *Scheduler) decodeLoadMessage(from int, message []byte) bool {
	if from >= 0 && from < s.settings.Controllers && len(message) > 0 && message[0] == loadMessageTag {
		s.keepPeerLoad(from, message[1:])
		return false
	}
	ordered, checksum := s.activeByID()
	if len(message) != levelsMessageBytes(len(ordered)) || message[0] != levelsMessageTag || message[1] != checksum {
		return false
	}
	for i, index := range ordered {
		s.executors[index].loadLevel = float64(message[levelsHeaderBytes+i/2] >> (i % 2 * 4) & maxLevel)
	}
	return true
}

// keepPeerLoad keeps the entries of another controller's load message.
func (s *Scheduler) keepPeerLoad(from int, entries []byte) {
	for from >= len(s.peerLoads) {
		s.peerLoads = append(s.peerLoads, peerLoad{})
	}
	peer := &s.peerLoads[from]
	peer.receivedAt = s.now
	peer.entries = append(peer.entries[:0], entries...)
}

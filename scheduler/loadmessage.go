package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// Encoding of the messages between controllers. The first byte of a message is its type.
//
// A load message has a three-byte entry for each executor on which the sender has threads: 12 bits of a hash of the
// executor id, 6 bits for the number of threads and 6 bits for the share of the executor's memory.
//
// A levels message has a checksum of the active executors, followed by four bits for the load level of each of them in
// the order of their ids.
const (
	loadMessageType   = 0
	levelsMessageType = 1

	maxMessageBytes   = 256
	loadEntryBytes    = 3
	entryIDShift      = 12
	entryThreadsShift = 6
	maxEntryValue     = 63 // largest value of six bits
	maxLevel          = 15 // largest value of four bits
	levelsHeaderBytes = 2
)

// peerLoad is the last load message that was received from another controller.
type peerLoad struct {
	receivedAt float64
	entries    []byte
}

// appendLoad appends the entry of an executor to the load message, unless the message is full. The memory share is
// rounded up or down at random, so that the expected sum over many controllers is exact.
func (s *Scheduler) appendLoad(e *executor, threads int) {
	if threads <= 0 || len(s.loadMessage)+loadEntryBytes > maxMessageBytes {
		return
	}
	memoryShare := math.Floor((maxEntryValue+1)*e.grantedMB/e.memoryMB + s.random())
	entry := e.idHash() << entryIDShift
	entry |= uint32(min(maxEntryValue, threads)) << entryThreadsShift
	entry |= uint32(min(maxEntryValue, memoryShare))
	s.loadMessage = append(s.loadMessage, byte(entry>>16), byte(entry>>8), byte(entry))
}

// idHash returns the 12-bit hash of an executor's id that stands for the executor in load messages. Executors may share
// a hash.
func (e *executor) idHash() uint32 { return e.id * 0x9E3779B1 >> 20 }

// levelsMessageBytes returns the length of a levels message for a number of executors.
func levelsMessageBytes(executors int) int { return levelsHeaderBytes + (executors+1)/2 }

// levelsFitMessage reports whether the load levels of all active executors fit into one message.
func (s *Scheduler) levelsFitMessage() bool {
	active := 0
	for index := range s.executors {
		if s.executors[index].availability == Active {
			active++
		}
	}
	return levelsMessageBytes(active) <= maxMessageBytes
}

// sendToAggregators sends the load message to the first count controllers and reports whether this controller is one
// of them.
func (s *Scheduler) sendToAggregators(count int) bool {
	isAggregator := false
	for peer := range min(count, s.settings.Controllers) {
		if peer == s.settings.ControllerIndex {
			isAggregator = true
			s.receiveLoad(peer, s.loadMessage)
			continue
		}
		s.emit(Action{Kind: SendPeer, Peer: peer, Payload: s.loadMessage})
	}
	return isAggregator
}

// sumPeerLoads adds up the load messages received after a point in time, for each executor.
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

// addPeerLoad adds one entry of a load message to every executor whose id has the hash in the entry.
func (s *Scheduler) addPeerLoad(entry uint32) {
	for index := range s.executors {
		e := &s.executors[index]
		if e.idHash() != entry>>entryIDShift {
			continue
		}
		e.peerThreads += float64(entry >> entryThreadsShift & maxEntryValue)
		e.peerMemoryShare += float64(entry&maxEntryValue) / (maxEntryValue + 1)
	}
}

// activeByID returns the indexes of the active executors in the order of their ids, and a checksum by which controllers
// detect that their endpoint lists differ.
func (s *Scheduler) activeByID() (ordered []int, checksum byte) {
	for index := range s.executors {
		e := &s.executors[index]
		if e.availability == Active {
			ordered = append(ordered, index)
			checksum += byte(e.idHash())
		}
	}
	slices.SortFunc(ordered, func(a, b int) int { return cmp.Compare(s.executors[a].id, s.executors[b].id) })
	return ordered, checksum
}

// publishLevels sends the load levels to all other controllers and applies them here.
func (s *Scheduler) publishLevels() {
	ordered, checksum := s.activeByID()
	s.levelsMessage = append(s.levelsMessage[:0], levelsMessageType, checksum)
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

// decodePeerMessage stores a load message, or sets the load levels from a levels message, and reports whether the
// levels were set. It ignores malformed messages and levels for a different endpoint list.
func (s *Scheduler) decodePeerMessage(from int, message []byte) bool {
	if from >= 0 && from < s.settings.Controllers && len(message) > 0 && message[0] == loadMessageType {
		s.storePeerLoad(from, message[1:])
		return false
	}
	ordered, checksum := s.activeByID()
	if len(message) != levelsMessageBytes(len(ordered)) || message[0] != levelsMessageType || message[1] != checksum {
		return false
	}
	for i, index := range ordered {
		s.executors[index].loadLevel = float64(message[levelsHeaderBytes+i/2] >> (i % 2 * 4) & maxLevel)
	}
	return true
}

// storePeerLoad replaces the stored load message of a controller.
func (s *Scheduler) storePeerLoad(from int, entries []byte) {
	for from >= len(s.peerLoads) {
		s.peerLoads = append(s.peerLoads, peerLoad{})
	}
	peer := &s.peerLoads[from]
	peer.receivedAt = s.now
	peer.entries = append(peer.entries[:0], entries...)
}

package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// mostTold is the size of the longest message to another controller.
const maxMessageBytes = 256

// appendLoad appends to the mail what is out at an executor: 12 bits of its id, 6 of threads, 6 of memory as a
// share, rounded by chance so that sums are right.
func (s *Scheduler) appendLoad(e *executor, threads int) {
	if threads > 0 && len(s.loadMessage)+3 <= maxMessageBytes {
		share := math.Floor(64*e.grantedMB/e.memoryMB + s.random())
		n := e.tag()<<12 | uint32(min(63, threads))<<6 | uint32(min(63, share))
		s.loadMessage = append(s.loadMessage, byte(n>>16), byte(n>>8), byte(n))
	}
}

// levelsFitMessage tells whether the level of each executor that is listed fits a message.
func (s *Scheduler) levelsFitMessage() bool {
	active := 0
	for index := range s.executors {
		active += count(s.executors[index].availability == Active)
	}
	return 2+(active+1)/2 <= maxMessageBytes
}

func (e *executor) tag() uint32 { return e.id * 0x9E3779B1 >> 20 }

// sendToAggregators sends the mail to the first n controllers and tells whether this is one of them.
func (s *Scheduler) sendToAggregators(n int) (here bool) {
	for p := range min(n, s.settings.Controllers) {
		if p == s.settings.Slot {
			here = true
			s.receiveLoad(p, s.loadMessage)
		} else {
			s.emit(Action{Kind: SendPeer, Peer: p, Payload: s.loadMessage})
		}
	}
	return here
}

// sumPeerLoads sums what the controllers told of each executor after since.
func (s *Scheduler) sumPeerLoads(since float64) {
	for index := range s.executors {
		s.executors[index].peerThreads, s.executors[index].peerMemoryShare = 0, 0
	}
	for p := range s.peerLoads {
		for mail := s.peerLoads[p].entries; s.peerLoads[p].receivedAt > since && len(mail) >= 3; mail = mail[3:] {
			n := uint32(mail[0])<<16 | uint32(mail[1])<<8 | uint32(mail[2])
			for index := range s.executors {
				if e := &s.executors[index]; e.tag() == n>>12 {
					e.peerThreads += float64(n >> 6 & 63)
					e.peerMemoryShare += float64(n&63) / 64
				}
			}
		}
	}
}

// activeByID gives the active executors in the order of their ids, and a check on which they are.
func (s *Scheduler) activeByID() (ordered []int, check byte) {
	for index := range s.executors {
		if s.executors[index].availability == Active {
			ordered = append(ordered, index)
			check += byte(s.executors[index].tag())
		}
	}
	slices.SortFunc(ordered, func(a, b int) int { return cmp.Compare(s.executors[a].id, s.executors[b].id) })
	return ordered, check
}

// publishLevels sends the level of each executor to all, in four bits.
func (s *Scheduler) publishLevels() {
	ordered, check := s.activeByID()
	s.levelsMessage = append(s.levelsMessage[:0], 1, check)
	for k, index := range ordered {
		level := byte(min(15, s.executors[index].loadLevel))
		if k%2 == 0 {
			s.levelsMessage = append(s.levelsMessage, level)
		} else {
			s.levelsMessage[len(s.levelsMessage)-1] |= level << 4
		}
	}
	s.emit(Action{Kind: SendPeer, Peer: -1, Payload: s.levelsMessage})
	s.receiveLoad(s.settings.Slot, s.levelsMessage)
}

// decodeLoadMessage files a mail, or reads levels that are of the executors listed here and tells so.
func (s *Scheduler) decodeLoadMessage(from int, data []byte) bool {
	ordered, check := s.activeByID()
	switch {
	case from >= 0 && from < s.settings.Controllers && len(data) > 0 && data[0] == 0:
		for from >= len(s.peerLoads) {
			s.peerLoads = append(s.peerLoads, peerLoad{})
		}
		s.peerLoads[from].receivedAt, s.peerLoads[from].entries = s.now, append(s.peerLoads[from].entries[:0], data[1:]...)
	case len(data) == 2+(len(ordered)+1)/2 && data[0] == 1 && data[1] == check:
		for k, index := range ordered {
			s.executors[index].loadLevel = float64(data[2+k/2] >> (k % 2 * 4) & 15)
		}
		return true
	}
	return false
}

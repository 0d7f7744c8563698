package membership

import "math"

const (
	gossipMS          = 200 // between rounds while records are queued
	gossipFanout      = 3   // members in each round
	transmitLogFactor = 4   // transmissions of a record for each tenfold of members
)

// enqueueGossip queues a member's record ahead of older ones.
func (v *View) enqueueGossip(m *member) {
	m.transmitsLeft = transmitLogFactor * int(math.Ceil(math.Log10(float64(v.live+2))))
	v.compareAt = v.now + settledMS
	if m.queued {
		return
	}
	m.queued = true
	v.gossipQueue = append(v.gossipQueue, nil)
	copy(v.gossipQueue[1:], v.gossipQueue)
	v.gossipQueue[0] = m
}

// sendGossip sends queued records to some members at once.
func (v *View) sendGossip() {
	for k := 0; k < gossipFanout && len(v.gossipQueue) > 0; k++ {
		if m := v.randomMember(nil); m != nil {
			v.send(m, &message{kind: kindGossip}, nil)
		}
	}
}

func (v *View) send(to *member, msg *message, about *member) { v.sendTo(to.Address, msg, about) }

func (v *View) sendTo(address string, msg *message, about *member) {
	data := v.encodeMessage(msg, about)
	v.counts.Sent++
	v.counts.SentBytes += uint64(len(data))
	v.emit(Effect{Kind: Send, To: address, Data: data})
}

// encodeMessage writes a message and as many queued records as fit. About, if not nil, is the recipient or the member that the message
// is about; its record goes ahead of the queue if it is one that the member may want to refute.
func (v *View) encodeMessage(msg *message, about *member) []byte {
	data := v.encodeHeader(msg)
	appendIfFits := func(m *Member) bool {
		longer := appendRecord(data, m)
		if len(longer) > maxDatagramBytes {
			return false
		}
		data = longer
		return true
	}
	for k := range msg.members {
		appendIfFits(&msg.members[k])
	}
	if about != nil && about.State != Alive && about.State != Joining && about.State != Unknown {
		appendIfFits(&about.Member)
	}
	sent := 0
	for ; sent < len(v.gossipQueue); sent++ {
		m := v.gossipQueue[sent]
		if m == v.self || m == about {
			m.transmitsLeft-- // its record is in the message already
			continue
		}
		if m.transmitsLeft <= 0 {
			continue
		}
		if !appendIfFits(&m.Member) {
			break
		}
		m.transmitsLeft--
	}
	v.requeue(sent)
	return data
}

// requeue moves the first records of the queue to its end, or drops those that were sent often enough.
func (v *View) requeue(sent int) {
	head := append([]*member(nil), v.gossipQueue[:sent]...)
	v.gossipQueue = append(v.gossipQueue[:0], v.gossipQueue[sent:]...)
	for _, m := range head {
		if m.transmitsLeft > 0 {
			v.gossipQueue = append(v.gossipQueue, m)
		} else {
			m.queued = false
		}
	}
}

// clearGossipIfSettled empties the queue after several messages in a row from members with an equal view: they know all of it. The
// accusers of a suspect are no part of a view, so the queue is kept while there is a suspect.
func (v *View) clearGossipIfSettled(hash uint64) {
	if hash != v.hash {
		v.equalViews = 0
		return
	}
	v.equalViews++
	if v.equalViews < equalViewsToSettle || len(v.gossipQueue) == 0 || v.suspectCount() > 0 {
		return
	}
	for _, m := range v.gossipQueue {
		m.transmitsLeft = 0
		m.queued = false
	}
	clear(v.gossipQueue)
	v.gossipQueue = v.gossipQueue[:0]
}

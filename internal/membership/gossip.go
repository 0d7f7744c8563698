package membership

import "math"

const (
	gossipIntervalMS  = 200 // interval between gossip rounds while records are queued
	gossipFanout      = 3   // recipients of each round
	transmitLogFactor = 4   // a record is sent this often per power of ten of the number of members
)

// enqueueGossip puts a member's record at the front of the gossip queue and resets its number of transmissions. A
// record that is queued already keeps its place.
func (v *View) enqueueGossip(m *member) {
	m.transmitsLeft = transmitLogFactor * int(math.Ceil(math.Log10(float64(v.livePeers+2))))
	v.compareViewsAt = v.now + viewComparisonDelayMS
	if m.queued {
		return
	}
	m.queued = true
	v.gossipQueue = append(v.gossipQueue, nil)
	copy(v.gossipQueue[1:], v.gossipQueue)
	v.gossipQueue[0] = m
}

// sendGossip sends one round of gossip.
func (v *View) sendGossip() {
	for k := 0; k < gossipFanout && len(v.gossipQueue) > 0; k++ {
		if m := v.randomMember(nil); m != nil {
			v.send(m, &message{kind: kindGossip}, nil)
		}
	}
}

// send sends a message to a member.
func (v *View) send(to *member, msg *message, about *member) { v.sendTo(to.Address, msg, about) }

// sendTo sends a message to an address. See encodeMessage for about.
func (v *View) sendTo(address string, msg *message, about *member) {
	data := v.encodeMessage(msg, about)
	v.counts.Sent++
	v.counts.SentBytes += uint64(len(data))
	v.emit(Effect{Kind: Send, To: address, Data: data})
}

// encodeMessage encodes a message with as many queued records as fit into a datagram. The member about, if not nil, is
// the recipient or the member that the message is about. Its record precedes the queued ones, unless it is Joining,
// Alive or Unknown, so that the member learns of a suspicion that it has to refute.
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
			m.transmitsLeft-- // the message contains its record already
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

// requeue moves the given number of records from the front of the queue to its end. Records without transmissions left
// are removed.
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

// clearGossipIfViewsEqual clears the queue after several consecutive messages from members with an equal view, as the
// queued records are known by then. The hash of a view does not cover the accusers of a suspect, so the queue is kept
// while there is a suspect.
func (v *View) clearGossipIfViewsEqual(hash uint64) {
	if hash != v.hash {
		v.equalViews = 0
		return
	}
	v.equalViews++
	if v.equalViews < equalViewsToClearGossip || len(v.gossipQueue) == 0 || v.suspectCount() > 0 {
		return
	}
	for _, m := range v.gossipQueue {
		m.transmitsLeft = 0
		m.queued = false
	}
	clear(v.gossipQueue)
	v.gossipQueue = v.gossipQueue[:0]
}

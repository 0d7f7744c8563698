package membership

import "errors"

// decode parses a message and counts it by its outcome. It returns false for a message that was rejected.
func (v *View) decode(data []byte) (message, bool) {
	msg, err := parseMessage(v.fleet, data)
	switch {
	case err == nil:
		v.counts.Received++
		return msg, true
	case errors.Is(err, errForeign):
		v.counts.Foreign++
	case errors.Is(err, errNewerVersion):
		v.counts.Newer++
	default:
		v.counts.Malformed++
	}
	return msg, false
}

// handleDatagram merges the records of a datagram and then handles the message itself.
func (v *View) handleDatagram(event *Event) {
	msg, ok := v.decode(event.Data)
	if !ok {
		return
	}
	if msg.sender.Name == v.self.Name {
		v.handleSameNameSender(event.From, &msg)
		return
	}
	known := v.byName[msg.sender.Name]
	wasDead := known != nil && known.State == Dead
	v.merge(&msg.sender, msg.sender.Name)
	var corrections []Member
	for k := range msg.members {
		v.merge(&msg.members[k], msg.sender.Name)
		if msg.kind == kindPing {
			corrections = v.appendCorrection(corrections, &msg.members[k])
		}
	}
	// Only probes and their answers sample the fleet evenly: gossip comes from members that have records to send.
	if msg.kind == kindPing || msg.kind == kindAck {
		v.clearGossipIfViewsEqual(msg.viewHash)
	}
	from := v.byName[msg.sender.Name]
	if wasDead && known.State.IsLive() { // a partition between the two members has ended: reconcile their views at once
		v.startExchange(known.Address)
		v.startRapidExchanges()
	}
	switch msg.kind {
	case kindPing:
		v.handlePing(event.From, &msg, from, corrections)
	case kindAck:
		v.handleAck(&msg, from)
	case kindPingRequest:
		v.handlePingRequest(event.From, &msg)
	case kindNack:
		if p := v.findProbe(msg.sequence); p != nil {
			p.nacks++
		}
	}
}

// handleSameNameSender handles a datagram whose sender has this controller's name.
func (v *View) handleSameNameSender(from string, msg *message) {
	if msg.sender.Address != v.self.Address || msg.sender.Incarnation != v.self.Incarnation {
		v.handleDuplicate(&msg.sender, true)
	}
	if msg.kind == kindPing {
		v.sendTo(from, &message{kind: kindAck, sequence: msg.sequence}, nil)
	}
}

// handlePing answers a probe, with records that correct outdated suspicions in it.
func (v *View) handlePing(address string, msg *message, from *member, corrections []Member) {
	if msg.target != "" && (msg.target != v.self.Name || msg.incarnation > v.self.Incarnation) {
		v.counts.Stale++ // the probe is for another member, which had this address before
		return
	}
	v.sendTo(address, &message{kind: kindAck, sequence: msg.sequence, target: v.self.Name,
		incarnation: v.self.Incarnation, members: corrections}, from)
	v.exchangeIfDifferent(msg.viewHash, from)
}

package membership

import "errors"

// decode parses a message and counts those that can't be used.
func (v *View) decode(data []byte) (message, bool) {
	msg, err := parseMessage(v.fleet, data)
	switch {
	case err == nil:
		v.counts.Received++
		return msg, true
	case errors.Is(err, errForeign):
		v.counts.Foreign++
	case errors.Is(err, errNewer):
		v.counts.Newer++
	default:
		v.counts.Malformed++
	}
	return msg, false
}

// handleDatagram takes a datagram: first the records in it, then what it asks for.
func (v *View) handleDatagram(ev *Event) {
	msg, ok := v.decode(ev.Data)
	if !ok {
		return
	}
	if msg.sender.Name == v.self.Name {
		v.handleOwnName(ev.From, &msg)
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
	if msg.kind == kindPing || msg.kind == kindAck { // gossip goes to where records are queued: it is no sample of the fleet
		v.clearGossipIfSettled(msg.viewHash)
	}
	from := v.byName[msg.sender.Name]
	if wasDead && known.State.IsLive() { // the two were partitioned: all that either knows is compared at once
		v.startExchange(known.Address)
		v.startRapidExchanges()
	}
	switch msg.kind {
	case kindPing:
		v.handlePing(ev.From, &msg, from, corrections)
	case kindAck:
		v.handleAck(&msg, from)
	case kindPingRequest:
		v.handlePingRequest(ev.From, &msg)
	case kindNack:
		if p := v.findProbe(msg.sequence); p != nil {
			p.nacks++
		}
	}
}

// handleOwnName takes a datagram whose sender has this controller's name.
func (v *View) handleOwnName(from string, msg *message) {
	if msg.sender.Address != v.self.Address || msg.sender.Incarnation != v.self.Incarnation {
		v.handleDuplicate(&msg.sender, true)
	}
	if msg.kind == kindPing {
		v.sendTo(from, &message{kind: kindAck, sequence: msg.sequence}, nil)
	}
}

// handlePing answers a probe.
func (v *View) handlePing(address string, msg *message, from *member, corrections []Member) {
	if msg.target != "" && (msg.target != v.self.Name || msg.incarnation > v.self.Incarnation) {
		v.counts.Stale++ // for another member that had this address
		return
	}
	v.sendTo(address, &message{kind: kindAck, sequence: msg.sequence, target: v.self.Name, incarnation: v.self.Incarnation,
		members: corrections}, from)
	v.exchangeIfDifferent(msg.viewHash, from)
}

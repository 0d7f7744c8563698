package membership

import "slices"

const (
	equalViewsToSettle    = 3    // messages in a row with an equal view, after which nothing is left to gossip
	settledMS             = 2000 // without new records, after which views that still differ are exchanged
	rapidExchangeChanges  = 3    // changes by one exchange after which others follow at once: two halves of the fleet meet
	rapidExchangesInARow  = 3
	reconnectMS           = 2000 // between attempts to reach a seed without a member, or a dead member
	rapidExchangeMinShare = 0.3  // of the probe interval, until the first of them
)

// startExchange begins an exchange with a hash of the view; full states follow only where the hashes differ.
func (v *View) startExchange(address string) {
	v.counts.Exchanges++
	v.emit(Effect{Kind: Exchange, To: address, Data: v.encodeHeader(&message{kind: kindDigest})})
}

// exchangeWithAny starts the periodic exchange with a random member.
func (v *View) exchangeWithAny() {
	v.exchangeAt = v.now + v.settings.ExchangeMS*(0.5+v.random())
	if v.rapidExchanges > 0 {
		v.rapidExchanges--
		v.exchangeAt = v.now + v.settings.ProbeMS*(0.5+v.random())
	}
	if m := v.randomMember(nil); m != nil {
		v.startExchange(m.Address)
	}
}

// encodeFullState writes all that the view knows as one message.
func (v *View) encodeFullState() []byte {
	data := v.encodeHeader(&message{kind: kindFull})
	for _, m := range v.Members() {
		if m.Name != v.self.Name && m.State != Unknown {
			data = appendRecord(data, &m)
		}
	}
	return data
}

// handleExchange takes one part of an exchange, a request or an answer.
func (v *View) handleExchange(ev *Event, isRequest bool) {
	msg, ok := v.decode(ev.Data)
	if !ok {
		return
	}
	reply := func(data []byte) {
		if isRequest {
			v.emit(Effect{Kind: Reply, Data: data})
		}
	}
	if msg.sender.Name == v.self.Name {
		v.handleDuplicate(&msg.sender, msg.sender.Address != v.self.Address)
		reply(v.encodeHeader(&message{kind: kindSame}))
		return
	}
	changes := boolToInt(v.merge(&msg.sender, msg.sender.Name))
	for k := range msg.members {
		changes += boolToInt(v.merge(&msg.members[k], msg.sender.Name))
	}
	if len(msg.members) > 0 {
		v.counts.Merged++
	}
	if v.self.State == Joining && !isRequest {
		v.announce(Alive)
	}
	switch {
	case msg.kind == kindDigest && msg.viewHash == v.hash:
		reply(v.encodeHeader(&message{kind: kindSame}))
	case msg.kind == kindDigest:
		reply(v.encodeFullState())
	case msg.kind == kindFull && isRequest:
		reply(v.encodeHeader(&message{kind: kindSame}))
	case msg.kind == kindFull && msg.viewHash != v.hash: // the other member lacks something
		v.emit(Effect{Kind: Exchange, To: ev.From, Data: v.encodeFullState()})
	}
	if changes >= rapidExchangeChanges {
		v.startRapidExchanges()
	}
}

// startRapidExchanges has several exchanges follow at short intervals.
func (v *View) startRapidExchanges() {
	v.rapidExchanges = rapidExchangesInARow
	v.exchangeAt = min(v.exchangeAt, v.now+v.settings.ProbeMS*(rapidExchangeMinShare+(1-rapidExchangeMinShare)*v.random()))
}

// exchangeIfDifferent starts an exchange with a member whose view still differs although no records are queued.
func (v *View) exchangeIfDifferent(hash uint64, with *member) {
	if hash == v.hash || with == nil || !with.State.IsLive() {
		return
	}
	if len(v.gossipQueue) > 0 || v.now < v.compareAt {
		return
	}
	v.compareAt = v.now + settledMS*(0.5+v.random())
	v.startExchange(with.Address)
}

// reconnect tries to reach a seed where no live member is known, or a dead member, so that a partitioned fleet finds together again.
func (v *View) reconnect() {
	if v.self.State == Leaving {
		return
	}
	seeds := v.unreachedSeeds()
	if v.self.State == Joining {
		v.join(seeds)
		return
	}
	var dead []*member
	for _, m := range v.ring {
		if m.State == Dead {
			dead = append(dead, m)
		}
	}
	if v.live < len(v.seeds) { // hardly any other member shares this work
		for _, address := range seeds {
			v.sendTo(address, &message{kind: kindPing, sequence: v.nextSequence()}, nil)
		}
		seeds = nil
	}
	candidates := len(seeds) + len(dead)
	if candidates == 0 {
		return
	}
	ping := &message{kind: kindPing, sequence: v.nextSequence()}
	chosen := int(v.random() * float64(candidates))
	if chosen < len(seeds) {
		v.sendTo(seeds[chosen], ping, nil)
		return
	}
	m := dead[chosen-len(seeds)]
	v.send(m, ping, m)
}

// join starts an exchange with a member that found this controller first, as all seeds may be gone, or with a seed.
func (v *View) join(seeds []string) {
	if m := v.randomMember(nil); m != nil {
		v.startExchange(m.Address)
	} else if len(seeds) > 0 {
		v.startExchange(seeds[int(v.random()*float64(len(seeds)))])
	}
	v.reconnectAt = v.now + v.settings.ProbeMS
}

// unreachedSeeds returns the seeds at whose address no live member is known.
func (v *View) unreachedSeeds() (list []string) {
	for _, address := range v.seeds {
		if !slices.ContainsFunc(v.ring, func(m *member) bool { return m.Address == address && m.State.IsLive() }) {
			list = append(list, address)
		}
	}
	return list
}

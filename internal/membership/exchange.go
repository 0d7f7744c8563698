package membership

import "slices"

const (
	// equalViewsToClearGossip is the number of consecutive messages with an equal view after which the gossip queue is
	// cleared.
	equalViewsToClearGossip = 3
	// viewComparisonDelayMS is the time without new records after which views that still differ are exchanged.
	viewComparisonDelayMS = 2000
	// changesForRapidExchanges is the number of members changed by one exchange from which on further exchanges follow at
	// short intervals, as two parts of the fleet are probably merging.
	changesForRapidExchanges = 3
	rapidExchangeCount       = 3
	// rapidExchangeMinShare is the minimum delay of the first rapid exchange, as a share of the probe interval.
	rapidExchangeMinShare = 0.3
	// reconnectIntervalMS is the average interval between attempts to reach a dead member or a seed without a live member.
	reconnectIntervalMS = 2000
)

// startExchange starts an exchange by sending the hash of the view. Full states follow only if the hashes differ.
func (v *View) startExchange(address string) {
	v.counts.Exchanges++
	v.emit(Effect{Kind: Exchange, To: address, Data: v.encodeHeader(&message{kind: kindDigest})})
}

// startPeriodicExchange starts an exchange with a random member and schedules the next one.
func (v *View) startPeriodicExchange() {
	v.exchangeAt = v.now + v.settings.ExchangeMS*(0.5+v.random())
	if v.rapidExchanges > 0 {
		v.rapidExchanges--
		v.exchangeAt = v.now + v.settings.ProbeMS*(0.5+v.random())
	}
	if m := v.randomMember(nil); m != nil {
		v.startExchange(m.Address)
	}
}

// encodeFullState encodes all records of the view as one message.
func (v *View) encodeFullState() []byte {
	data := v.encodeHeader(&message{kind: kindFull})
	for _, m := range v.Members() {
		if m.Name != v.self.Name && m.State != Unknown {
			data = appendRecord(data, &m)
		}
	}
	return data
}

// handleExchange handles a request or an answer of an exchange.
func (v *View) handleExchange(event *Event, isRequest bool) {
	msg, ok := v.decode(event.Data)
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
	case msg.kind == kindFull && msg.viewHash != v.hash: // the other member lacks records that this view has
		v.emit(Effect{Kind: Exchange, To: event.From, Data: v.encodeFullState()})
	}
	if changes >= changesForRapidExchanges {
		v.startRapidExchanges()
	}
}

// startRapidExchanges schedules several exchanges at short intervals.
func (v *View) startRapidExchanges() {
	v.rapidExchanges = rapidExchangeCount
	v.exchangeAt = min(v.exchangeAt,
		v.now+v.settings.ProbeMS*(rapidExchangeMinShare+(1-rapidExchangeMinShare)*v.random()))
}

// exchangeIfDifferent starts an exchange with a member whose view hash differs, unless gossip is still under way.
func (v *View) exchangeIfDifferent(hash uint64, with *member) {
	if hash == v.hash || with == nil || !with.State.IsLive() {
		return
	}
	if len(v.gossipQueue) > 0 || v.now < v.compareViewsAt {
		return
	}
	v.compareViewsAt = v.now + viewComparisonDelayMS*(0.5+v.random())
	v.startExchange(with.Address)
}

// reconnect tries to reach a dead member, or a seed at whose address no live member is known, so that the parts of a
// partitioned fleet merge again.
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
	if v.livePeers < len(v.seeds) { // too few members share this work: ping all seeds at once
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

// join starts an exchange with a random live member if one is known, and otherwise with a random seed. Members may have
// contacted this controller first, while all its seeds are unreachable.
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

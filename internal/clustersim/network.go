package clustersim

import "liftshift/internal/membership"

// Network holds the conditions of the simulated network, which can change during a history.
type Network struct {
	MinDelayMS, MaxDelayMS float64                 // one-way delay of a message, drawn uniformly from this range
	Loss, Duplication      float64                 // probabilities, per message
	Blocked                func(from, to int) bool // reports whether a direction is blocked; nil blocks nothing
}

// delay draws the one-way delay of a message.
func (c *Cluster) delay() float64 {
	return c.Network.MinDelayMS + (c.Network.MaxDelayMS-c.Network.MinDelayMS)*c.random.Float64()
}

// reaches reports whether the network lets messages pass in one direction.
func (c *Cluster) reaches(from, to int) bool {
	return c.Network.Blocked == nil || !c.Network.Blocked(from, to)
}

// connected reports whether the network lets messages pass in both directions.
func (c *Cluster) connected(a, b int) bool { return c.reaches(a, b) && c.reaches(b, a) }

// receiver returns the running node that listens on an address.
func (c *Cluster) receiver(address string) (node int, found bool) {
	k, known := c.nodeByAddress[address]
	if !known || !c.Nodes[k].Up || c.Nodes[k].Address != address {
		return 0, false
	}
	return k, true
}

// countMessage adds a sent message to Messages and Bytes.
func (c *Cluster) countMessage(data []byte) {
	c.Messages++
	c.Bytes += uint64(len(data))
}

// sendDatagram sends a message that the network may lose, duplicate or reorder.
func (c *Cluster) sendDatagram(from int, address string, data []byte) {
	c.countMessage(data)
	to, found := c.receiver(address)
	if !found || !c.reaches(from, to) {
		return
	}
	copies := 1
	if c.random.Float64() < c.Network.Duplication {
		copies = 2
	}
	event := membership.Event{Kind: membership.DatagramReceived, From: c.Nodes[from].Address, Data: data}
	for range copies {
		if c.random.Float64() < c.Network.Loss {
			continue
		}
		if c.OnDatagram != nil {
			c.OnDatagram(from, to, data)
		}
		c.queue.schedule(c.Now+c.delay(), queuedEvent{to: to, generation: c.Nodes[to].generation, from: from,
			event: event})
	}
}

// startExchange sends the request of an exchange over a new connection. The network loses no message of a connection,
// but it must let both directions pass.
func (c *Cluster) startExchange(from int, address string, data []byte) {
	to, found := c.receiver(address)
	if !found || !c.connected(from, to) {
		return
	}
	c.countMessage(data)
	event := membership.Event{Kind: membership.ExchangeRequested, From: c.Nodes[from].Address, Data: data}
	c.queue.schedule(c.Now+2*c.delay(), queuedEvent{to: to, generation: c.Nodes[to].generation, from: from,
		event: event})
}

// answerExchange sends the answer of an exchange back over the connection of its request.
func (c *Cluster) answerExchange(nodeIndex, to int, data []byte) {
	if to < 0 || to >= len(c.Nodes) || !c.reaches(nodeIndex, to) {
		return
	}
	c.countMessage(data)
	event := membership.Event{Kind: membership.ExchangeAnswered, From: c.Nodes[nodeIndex].Address, Data: data}
	c.queue.schedule(c.Now+c.delay(), queuedEvent{to: to, generation: c.Nodes[to].generation, from: nodeIndex,
		event: event})
}

package raftnode

import "liftshift/internal/clusternet"

const (
	maxStreams     = 16
	streamCapacity = 64 // messages; further ones are dropped, which Raft tolerates
)

// sendMessage queues a Raft message for a voter. A goroutine for each voter sends its messages in order, so that a voter that does not
// answer delays no other.
func (n *Node) sendMessage(to string, data []byte) {
	address := n.address(to)
	if address == "" || to == n.name {
		n.Dropped.Add(1)
		return
	}
	header := append([]byte{messageRaft, byte(len(n.name))}, n.name...)
	select {
	case n.stream(address) <- append(header, data...):
	default:
		n.Dropped.Add(1)
	}
}

// stream returns the queue for an address and starts it if need be. Past maxStreams, it ends another one, most likely of a former voter.
func (n *Node) stream(address string) chan []byte {
	if messages := n.streams[address]; messages != nil {
		return messages
	}
	if len(n.streams) >= maxStreams {
		for other, messages := range n.streams {
			close(messages)
			delete(n.streams, other)
			break
		}
	}
	messages := make(chan []byte, streamCapacity)
	n.streams[address] = messages
	go n.runStream(address, messages)
	return messages
}

// runStream sends the messages of a queue until it is closed or the node stops.
func (n *Node) runStream(address string, messages <-chan []byte) {
	for {
		select {
		case data, open := <-messages:
			if !open {
				return
			}
			if _, err := n.transport.CallSync(address, clusternet.ConsensusMethod, data); err != nil {
				n.Dropped.Add(1)
			}
		case <-n.stop:
			return
		}
	}
}

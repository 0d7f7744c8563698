package raftnode

import "liftshift/internal/clusternet"

const (
	// maxPeerStreams bounds the peers with a queue of their own.
	maxPeerStreams = 16
	// streamQueueCapacity bounds the messages in a queue. Further ones are dropped, which Raft tolerates.
	streamQueueCapacity = 64
)

// sendMessage queues a Raft message for a voter. One goroutine per voter sends the queued messages in order, so that a
// voter that does not answer delays no other.
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

// stream returns the message queue of an address. A new one is created, with its goroutine, if there is none; at
// maxPeerStreams an arbitrary other one is closed to make room.
func (n *Node) stream(address string) chan []byte {
	if messages := n.streams[address]; messages != nil {
		return messages
	}
	if len(n.streams) >= maxPeerStreams {
		for other, messages := range n.streams {
			close(messages)
			delete(n.streams, other)
			break
		}
	}
	messages := make(chan []byte, streamQueueCapacity)
	n.streams[address] = messages
	go n.runStream(address, messages)
	return messages
}

// runStream sends the messages of a queue until the queue is closed or the node stops.
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

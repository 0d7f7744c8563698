package raftnode

import (
	"encoding/binary"
	"encoding/json"

	"liftshift/internal/placement"
)

// configurationMS is the time between two checks for a later configuration.
const configurationMS = 250

// Configuration is the agreed members and placement table, with the members' addresses by the membership view.
type Configuration struct {
	Members   []placement.Member `json:"Places"`
	Table     placement.Table    `json:"Table"`
	Addresses map[string]string  `json:"-"`
}

// reportConfiguration calls OnConfiguration.
func (n *Node) reportConfiguration(c Configuration) {
	n.configurationStep = c.Table.Step
	n.reportedViewHash = n.view.Hash()
	if n.OnConfiguration == nil {
		return
	}
	c.Addresses = map[string]string{}
	for _, m := range n.view.Members() {
		c.Addresses[m.Name] = m.Address
	}
	n.OnConfiguration(c)
}

// refreshConfiguration reports the configuration again where addresses may have changed, and asks the leader for a later one. A voter
// learns of a later one from Raft, but may have been replaced without noticing.
func (n *Node) refreshConfiguration(now float64) {
	if n.OnConfiguration == nil || now < n.configurationAt {
		return
	}
	n.configurationAt = now + configurationMS
	if n.view.Hash() != n.reportedViewHash && n.configurationStep > 0 {
		if members, table := n.group.Configuration(); table.Step >= n.configurationStep {
			n.reportConfiguration(Configuration{Members: members, Table: table})
		} else {
			n.configurationStep = 0 // the leader is asked for all of it
		}
	}
	n.requestConfiguration(now)
}

// RefreshConfiguration asks the leader for a later configuration at once. It may be called from any goroutine.
func (n *Node) RefreshConfiguration() {
	go n.transport.Post(func(now float64) { n.requestConfiguration(now) })
}

func (n *Node) requestConfiguration(now float64) {
	leader := n.otherLeader(now)
	if leader == "" {
		return
	}
	message := binary.AppendUvarint([]byte{messageConfiguration}, n.configurationStep)
	n.request(now, leader, message, func(_ float64, reply []byte, err error) {
		var c Configuration
		if err != nil || len(reply) == 0 || json.Unmarshal(reply, &c) != nil {
			return
		}
		if c.Table.Step > n.configurationStep {
			n.reportConfiguration(c)
		}
	})
}

package raftnode

import (
	"encoding/binary"
	"encoding/json"

	"liftshift/internal/placement"
)

// configurationCheckIntervalMS is the time between two checks for a newer configuration.
const configurationCheckIntervalMS = 250

// Configuration is the agreed members and placement table, together with the members' current addresses.
type Configuration struct {
	Members   []placement.Member `json:"Places"`
	Table     placement.Table    `json:"Table"`
	Addresses map[string]string  `json:"-"` // by member name, from the membership view
}

// reportConfiguration adds the addresses to a configuration and calls OnConfiguration.
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

// refreshConfiguration reports the configuration again if the membership view has changed, and asks the leader for a
// newer one. A voter learns of a newer one from Raft, but it asks too, as it may have been replaced without noticing.
func (n *Node) refreshConfiguration(now float64) {
	if n.OnConfiguration == nil || now < n.nextConfigurationCheckAt {
		return
	}
	n.nextConfigurationCheckAt = now + configurationCheckIntervalMS
	if n.view.Hash() != n.reportedViewHash && n.configurationStep > 0 {
		if members, table := n.group.Configuration(); table.Step >= n.configurationStep {
			n.reportConfiguration(Configuration{Members: members, Table: table})
		} else {
			n.configurationStep = 0 // the local table is stale: have the leader send the configuration in any case
		}
	}
	n.requestConfiguration(now)
}

// RefreshConfiguration asks the leader for a newer configuration at once. It may be called from any goroutine.
func (n *Node) RefreshConfiguration() {
	go n.transport.Post(func(now float64) { n.requestConfiguration(now) })
}

// requestConfiguration asks the leader for a configuration newer than the one reported last, and reports it.
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

package assembly

import (
	"errors"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/clusternet"
	"liftshift/internal/dispatch"
	"liftshift/internal/ledger"
	"liftshift/internal/membership"
	"liftshift/internal/operatorconfig"
	"liftshift/internal/raftnode"
	"liftshift/internal/settings"
	"liftshift/internal/vfs"
	"liftshift/scheduler"
)

const (
	// incarnationNoteID is the id of the operator note that holds the last incarnation. It is part of the stored
	// format.
	incarnationNoteID = "fleet life"
	// consensusFolder is the folder of the consensus group's log inside the store's folder, as it is on disk.
	consensusFolder = "council"
	// protocolVersion is the version of the protocol between controllers that this program implements.
	protocolVersion = 1
	// controllerCountBuffer is the number of changes of the controller count that may wait for the event loop.
	controllerCountBuffer = 64
)

// clusterExtension connects the membership view and the consensus group to a controller.
type clusterExtension struct {
	extensions       *Extensions
	file             *operatorconfig.Cluster
	transport        *clusternet.Transport
	view             *membership.View // owned by the transport's goroutine
	node             *raftnode.Node   // nil without a consensus group
	clock            dispatch.Clock
	log              eventLog     // used by the transport's goroutine only
	controllerCounts chan float64 // new numbers of controllers that share the executors, for the event loop
	stopped          chan struct{}

	lastControllerCount float64 // sent to controllerCounts last; used by the transport's goroutine only
	counts              atomic.Pointer[membership.Counts]
	declaredLost        atomic.Uint64 // incarnations that the consensus group declared lost
	diskFailing         atomic.Bool   // the disk of this voter has failed
}

// openCluster creates the membership view and starts the transport if the file has a block cluster.
func (x *Extensions) openCluster(name string, platform *settings.Settings, clock dispatch.Clock) error {
	file := x.file.Cluster
	if file == nil {
		return nil
	}
	if file.Member != "" {
		name = file.Member
	}
	if name == "" {
		return errors.New(
			"cluster: this controller has no name: set member in block cluster or name in the platform's configuration",
		)
	}
	c := &clusterExtension{
		extensions:       x,
		file:             file,
		transport:        clusternet.New(file.Listen, x.log),
		clock:            clock,
		log:              eventLog{log: x.log},
		controllerCounts: make(chan float64, controllerCountBuffer),
		stopped:          make(chan struct{}),
	}
	c.transport.OnEffect = c.handleMembershipEffect
	self := membership.Member{
		Name:        name,
		Incarnation: c.nextIncarnation(),
		Address:     file.Address,
		Zone:        file.Zone,
		Region:      file.Region,
		Version:     protocolVersion,
	}
	seed := crc32.ChecksumIEEE([]byte(name + strconv.FormatUint(self.Incarnation, 10)))
	c.view = membership.New(c.transport.Now(), file.Name, self, file.Seeds, file.Membership, seed)
	if err := c.openNode(seed, platform); err != nil {
		return err
	}
	x.cluster = c
	x.log.WithFields(logrus.Fields{
		"cluster":     file.Name,
		"member":      name,
		"incarnation": self.Incarnation,
		"address":     file.Address,
	}).Info("cluster: joining")
	return nil
}

// openNode starts the transport. If the file names founders, it first creates the node of the consensus group, and the
// handoff and the locality, which need that node.
func (c *clusterExtension) openNode(seed uint32, platform *settings.Settings) error {
	if len(c.file.Founders) == 0 {
		return c.transport.Start(c.view, nil)
	}
	folder, err := vfs.OpenDir(filepath.Join(c.extensions.file.Store.Directory, consensusFolder), true)
	if err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	c.node, err = raftnode.New(
		c.transport, c.view, vfs.WithFaults(folder), c.file.Founders, c.file.Consensus, seed, c.extensions.log,
	)
	if err != nil {
		return err
	}
	c.node.OnEffect = c.handleConsensusEffect
	if c.extensions.file.Handoff != nil {
		if err := c.extensions.openHandoff(c, seed, platform); err != nil {
			return err
		}
	}
	if c.extensions.file.Locality != nil {
		c.extensions.openLocality(c, &platform.Scheduler)
	}
	return c.transport.Start(c.view, c.node)
}

// withVoterFlags adds to flags whether this controller can vote in the consensus group or its disk has failed.
func (c *clusterExtension) withVoterFlags(flags membership.Flags) membership.Flags {
	if c.diskFailing.Load() {
		return flags&^membership.CanVote | membership.DiskFailing
	}
	if c.node != nil {
		return flags | membership.CanVote
	}
	return flags
}

// nextIncarnation returns the incarnation for this start of the controller: the wall clock in ms, or one more than the
// stored incarnation if that is not smaller. The result is stored if the controller has a store.
func (c *clusterExtension) nextIncarnation() uint64 {
	next := uint64(max(1, time.Now().UnixMilli()))
	if c.extensions.store == nil {
		return next
	}
	for _, note := range c.extensions.store.OperatorNotes() {
		if note.ID != incarnationNoteID {
			continue
		}
		if stored, err := strconv.ParseUint(string(note.Body), 10, 64); err == nil && stored >= next {
			next = stored + 1
		}
	}
	c.storeIncarnation(next)
	return next
}

func (c *clusterExtension) storeIncarnation(incarnation uint64) {
	text := strconv.FormatUint(incarnation, 10)
	c.extensions.store.Step(
		c.clock.Now(), &ledger.Event{Kind: ledger.OperatorNoteSet, ID: incarnationNoteID, Body: []byte(text)},
	)
}

// start announces to the other members that this controller is ready, and begins to pass changes of the number of
// controllers to the event loop.
func (c *clusterExtension) start() {
	if c == nil {
		return
	}
	c.transport.SetFlags(c.withVoterFlags(membership.Ready))
	go c.forwardControllerCounts()
}

// forwardControllerCounts passes changes of the number of controllers to the scheduler and the quotas, until close.
func (c *clusterExtension) forwardControllerCounts() {
	for {
		select {
		case count := <-c.controllerCounts:
			c.extensions.loop.Put(
				dispatch.QueueItem{Event: scheduler.Event{Kind: scheduler.ControllersCounted, Value: count}},
			)
			if quotas := c.extensions.quotas; quotas != nil {
				c.extensions.loop.Put(
					dispatch.QueueItem{Call: func(float64) { quotas.shares.SetControllers(int(count)) }},
				)
			}
		case <-c.stopped:
			return
		}
	}
}

// shutdownStarted announces to the other members that this controller is draining and will leave.
func (c *clusterExtension) shutdownStarted() {
	if c == nil {
		return
	}
	c.transport.SetFlags(c.withVoterFlags(membership.Draining))
	c.transport.Leave()
}

// close returns the lease, announces that this controller has left and stops the transport.
func (c *clusterExtension) close() {
	if c == nil {
		return
	}
	if c.node != nil {
		c.node.ReleaseLease()
	}
	c.transport.Stop()
	close(c.stopped)
}

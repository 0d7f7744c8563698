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
	incarnationNote  = "fleet life" // the operator note that keeps the incarnation; its name is stored
	consensusFolder  = "council"    // beneath the folder of the store; its name is on disk
	protocolVersion  = 1            // of what this program can say to other controllers
	countChangesRoom = 64           // changes of the number of controllers that wait for the event loop
)

// cluster joins the membership view and the consensus group to a controller.
type cluster struct {
	x         *Extensions
	file      *operatorconfig.Cluster
	transport *clusternet.Transport
	view      *membership.View // the transport's goroutine owns it
	node      *raftnode.Node   // nil: no consensus group
	clock     dispatch.Clock
	log       eventLog
	present   chan float64 // changes of how many controllers share the executors
	stopped   chan struct{}

	lastPresent  float64
	counts       atomic.Pointer[membership.Counts]
	declaredLost atomic.Uint64
	diskFailing  atomic.Bool // the disk of this voter takes no writes
}

// openCluster makes the membership view and begins to listen, where the file has a block cluster.
func (x *Extensions) openCluster(name string, platform *settings.Settings, clock dispatch.Clock) error {
	file := x.file.Cluster
	if file == nil {
		return nil
	}
	if file.Member != "" {
		name = file.Member
	}
	if name == "" {
		return errors.New("cluster: this controller has no name: give member, or a name in the platform's configuration")
	}
	c := &cluster{
		x:         x,
		file:      file,
		transport: clusternet.New(file.Listen, x.log),
		clock:     clock,
		log:       eventLog{log: x.log},
		present:   make(chan float64, countChangesRoom),
		stopped:   make(chan struct{}),
	}
	c.transport.OnEffect = c.membershipEffect
	self := membership.Member{Name: name, Incarnation: c.nextIncarnation(), Address: file.Address, Zone: file.Zone,
		Region: file.Region, Version: protocolVersion}
	seed := crc32.ChecksumIEEE([]byte(name + strconv.FormatUint(self.Incarnation, 10)))
	c.view = membership.New(c.transport.Now(), file.Name, self, file.Seeds, file.Membership, seed)
	if err := c.openNode(seed, platform); err != nil {
		return err
	}
	x.cluster = c
	x.log.WithFields(logrus.Fields{"cluster": file.Name, "member": name, "incarnation": self.Incarnation, "address": file.Address}).
		Info("cluster: joining")
	return nil
}

// openNode begins to listen, with a node of the consensus group where the file names its founders.
func (c *cluster) openNode(seed uint32, platform *settings.Settings) error {
	if len(c.file.Founders) == 0 {
		return c.transport.Start(c.view, nil)
	}
	folder, err := vfs.OpenDir(filepath.Join(c.x.file.Store.Directory, consensusFolder), true)
	if err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	c.node, err = raftnode.New(c.transport, c.view, vfs.WithFaults(folder), c.file.Founders, c.file.Consensus, seed, c.x.log)
	if err != nil {
		return err
	}
	c.node.OnEffect = c.consensusEffect
	if c.x.file.Handoff != nil {
		if err := c.x.openHandoff(c, seed, platform); err != nil {
			return err
		}
	}
	if c.x.file.Locality != nil {
		c.x.openLocality(c, &platform.Scheduler)
	}
	return c.transport.Start(c.view, c.node)
}

// flags are what this controller tells of itself, besides others.
func (c *cluster) flags(others membership.Flags) membership.Flags {
	if c.diskFailing.Load() {
		return others&^membership.CanVote | membership.DiskFailing
	}
	if c.node != nil {
		return others | membership.CanVote
	}
	return others
}

// nextIncarnation returns the incarnation of this start: later than any on record here, and than any start before by the machine's
// clock.
func (c *cluster) nextIncarnation() uint64 {
	next := uint64(max(1, time.Now().UnixMilli()))
	if c.x.store == nil {
		return next
	}
	for _, note := range c.x.store.OperatorNotes() {
		if note.ID != incarnationNote {
			continue
		}
		if before, err := strconv.ParseUint(string(note.Body), 10, 64); err == nil && before >= next {
			next = before + 1
		}
	}
	c.storeIncarnation(next)
	return next
}

func (c *cluster) storeIncarnation(incarnation uint64) {
	text := strconv.FormatUint(incarnation, 10)
	c.x.store.Step(c.clock.Now(), &ledger.Event{Kind: ledger.OperatorNoteSet, ID: incarnationNote, Body: []byte(text)})
}

// start tells the others that this controller serves, and has the scheduler hear how many there are whenever that changes.
func (c *cluster) start() {
	if c == nil {
		return
	}
	c.transport.SetFlags(c.flags(membership.Ready))
	go c.forwardPresent()
}

// forwardPresent tells the event loop how many controllers there are, until close.
func (c *cluster) forwardPresent() {
	for {
		select {
		case n := <-c.present:
			c.x.loop.Put(dispatch.QueueItem{Event: scheduler.Event{Kind: scheduler.ControllersCounted, Value: n}})
			if q := c.x.quotas; q != nil {
				c.x.loop.Put(dispatch.QueueItem{Call: func(float64) { q.shares.SetControllers(int(n)) }})
			}
		case <-c.stopped:
			return
		}
	}
}

func (c *cluster) shutdownStarted() {
	if c == nil {
		return
	}
	c.transport.SetFlags(c.flags(membership.Draining))
	c.transport.Leave()
}

func (c *cluster) close() {
	if c == nil {
		return
	}
	if c.node != nil {
		c.node.ReleaseLease()
	}
	c.transport.Stop()
	close(c.stopped)
}

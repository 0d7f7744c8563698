package handoff

import (
	"cmp"
	"fmt"
	"hash/crc32"
	"slices"

	"liftshift/internal/placement"
	"liftshift/scheduler"
)

// requestClass is what the settings say of one class of requests.
type requestClass struct {
	name          string
	effect        scheduler.Idempotency
	dedupWindowMS float64
	adoptable     bool // a successor goes on with open requests of it
}

// replicated reports whether requests of the class are registered with replicas before any attempt is made.
func (c *requestClass) replicated() bool { return c.effect != scheduler.Idempotent }

// Manager replicates and adopts open requests for one controller. It is not safe for concurrent use.
type Manager struct {
	self                Member
	classes             []requestClass
	quorumLossMS        float64 // for which keys of a partition without quorum are rejected
	keyRetentionMS      float64
	maxAnswerBytes      int
	maxCopies           int
	copyAfterMS         float64 // 0: idempotent requests are not copied
	sendWithoutReplicas bool
	maxRetryAfterMS     float64
	retryBudget         scheduler.RetryBudget // for idempotent requests that are run again
	pacer               pacer
	seed                uint32
	draws               uint64

	now          float64
	leaseHeld    bool
	shuttingDown bool
	shutdownAt   float64
	effects      []Effect
	outgoing     map[string]*Batch // sent at the end of this step, by member
	loopback     []exchange        // messages to this controller's own replica

	// The agreed state.
	members map[string]*placement.Member
	table   *placement.Table

	// The replica's state.
	copies       map[Key]*storedCopy
	copyBytes    int // of bodies and answers
	openByOwner  map[Member]*ownerCopies
	expiryWheel  map[int64][]Key // by the second in which they may expire
	sweptUpTo    int64
	transfers    map[int]*partitionTransfer
	lostOwners   map[Member]float64      // since when their loss is known here
	proposals    map[proposalKey]float64 // when they were last proposed
	quorumLostAt map[int]float64         // by partition

	// The owner's state.
	owned           map[Key]*ownedRequest
	ownedByID       map[string]*ownedRequest
	unacknowledged  []*ownedRequest // their latest message has not been answered by all replicas
	withdrawals     []*withdrawal
	withdrawalsByID map[withdrawalID]*withdrawal
	waiting         []*waitingRequest
	recent          []recentRequest
	recentOpen      map[string]struct{} // ids of recent requests that are open
	queries         []*outcomeQuery

	// The successor's state.
	inherited         []*inheritedPartition
	adoptionQueue     []*orphanedRequest
	queuedForAdoption map[Key]struct{}
	adoptionsInFlight int
	reruns            []float64 // when idempotent requests were run again
	arrivals          []float64 // when requests of this controller's own clients arrived

	counts Counts
}

// exchange is a message to this controller's own replica and the reply.
type exchange struct {
	sent, reply Item
}

// proposalKey tells proposals apart.
type proposalKey struct {
	kind        ProposalKind
	name        string
	incarnation uint64
	partitions  uint32
}

// New returns the manager of a controller.
func New(self Member, settings Settings, seed uint32) *Manager {
	m := &Manager{
		self:                self,
		quorumLossMS:        settings.QuorumLossMS,
		keyRetentionMS:      settings.KeyRetentionMS,
		maxAnswerBytes:      settings.MaxAnswerBytes,
		maxCopies:           settings.MaxCopies,
		copyAfterMS:         settings.CopyAfterMS,
		sendWithoutReplicas: settings.SendWithoutReplicas,
		maxRetryAfterMS:     settings.RetryAfterMS,
		retryBudget:         settings.RetryBudget,
		pacer:               pacer{maxInFlight: float64(settings.MaxAdoptionsInFlight), started: map[string]pacedRequest{}},
		seed:                seed,
		outgoing:            map[string]*Batch{},
		members:             map[string]*placement.Member{},
		copies:              map[Key]*storedCopy{},
		openByOwner:         map[Member]*ownerCopies{},
		expiryWheel:         map[int64][]Key{},
		transfers:           map[int]*partitionTransfer{},
		lostOwners:          map[Member]float64{},
		proposals:           map[proposalKey]float64{},
		quorumLostAt:        map[int]float64{},
		owned:               map[Key]*ownedRequest{},
		ownedByID:           map[string]*ownedRequest{},
		withdrawalsByID:     map[withdrawalID]*withdrawal{},
		recentOpen:          map[string]struct{}{},
		queuedForAdoption:   map[Key]struct{}{},
	}
	for _, c := range settings.Classes {
		class := requestClass{name: c.Name, effect: c.Idempotency, dedupWindowMS: c.DedupWindowMS}
		class.adoptable = class.replicated() || slices.Contains(settings.AdoptClasses, c.Name)
		m.classes = append(m.classes, class)
		m.pacer.baselines = append(m.pacer.baselines, durations{})
		if class.effect == scheduler.Keyed {
			m.quorumLossMS = max(m.quorumLossMS, class.dedupWindowMS, c.DeadlineMS)
		}
	}
	return m
}

// random draws from [0, 1). The same seed gives the same draws.
func (m *Manager) random() float64 {
	m.draws++
	return float64(crc32.ChecksumIEEE(fmt.Appendf(nil, "%d/%d", m.seed, m.draws))) / (1 << 32)
}

// class returns the class of a name, or nil.
func (m *Manager) class(name string) *requestClass {
	if i := m.classIndex(name); i >= 0 {
		return &m.classes[i]
	}
	return nil
}

// classIndex returns the index of a class among those of the settings, or -1.
func (m *Manager) classIndex(name string) int {
	return slices.IndexFunc(m.classes, func(c requestClass) bool { return c.name == name })
}

func (m *Manager) emit(f Effect) {
	if f.Kind == AnswerSuspended || f.Kind == CancelLocal {
		m.pacer.forget(f.ID)
	}
	m.effects = append(m.effects, f)
}

// Step takes one event at the caller's clock in ms. The returned effects are valid until the next call.
func (m *Manager) Step(now float64, ev *Event) []Effect {
	m.effects = m.effects[:0]
	m.now = max(m.now, now)
	m.leaseHeld = ev.LeaseHeld
	m.handle(ev)
	if len(m.adoptionQueue) > 0 && m.adoptionsInFlight < int(m.pacer.limit) {
		m.adoptQueued()
	}
	m.flush()
	return m.effects
}

func (m *Manager) handle(ev *Event) {
	switch ev.Kind {
	case PlacementChanged:
		m.applyPlacement(ev)
	case RequestArriving:
		m.handleArrival(ev)
	case ClientLeft:
		m.handleClientLeft(ev.ID)
	case AttemptStarting:
		m.gateAttempt(ev)
	case AttemptEnded:
		m.handleAttemptEnded(ev)
	case RequestEnding:
		m.gateAnswer(ev)
	case RequestClosed:
		m.handleClosed(ev)
	case BatchReceived:
		m.handleBatch(ev)
	case BatchAnswered:
		m.handleReplies(ev)
	case OutcomeQueried:
		m.startQuery(ev)
	case CopyRestored:
		m.restoreCopy(ev.Copy)
	case Ticked:
		m.tick()
	case ShutdownStarted:
		m.shuttingDown = true
		m.shutdownAt = m.now
	case IncarnationChanged:
		m.self.Incarnation = ev.Incarnation
	case ReleaseRequested:
		m.releaseOrphan(ev.ID)
	case AdoptionRequested:
		m.claimOnRequest(ev.ID)
	}
}

// flush handles the replies of this controller's own replica and sends what is outgoing.
func (m *Manager) flush() {
	for len(m.loopback) > 0 {
		x := m.loopback[0]
		m.loopback = m.loopback[1:]
		m.handleReply(m.self, &x.sent, &x.reply)
	}
	names := make([]string, 0, len(m.outgoing))
	for name := range m.outgoing {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		batch := m.outgoing[name]
		m.emit(Effect{Kind: SendBatch, To: name, Batch: batch})
		m.counts.MessagesSent += uint64(len(batch.Items))
		delete(m.outgoing, name)
	}
}

// send sends an item to a member, which may be this controller itself.
func (m *Manager) send(name string, it Item) {
	if name == m.self.Name {
		reply := m.handleItem(m.self, &it)
		m.loopback = append(m.loopback, exchange{it, reply})
		return
	}
	batch := m.outgoing[name]
	if batch == nil {
		batch = &Batch{From: m.self, Version: m.table.Version}
		m.outgoing[name] = batch
	}
	if it.Op == OpAdopt || it.Op == OpFetch { // the receiver must know who is lost and who claimed what
		batch.PlacementStep = m.table.Step
	}
	batch.Items = append(batch.Items, it)
}

// sendToReplicas sends an item to all replicas of its key's partition.
func (m *Manager) sendToReplicas(it Item) {
	for _, name := range m.replicaNames(it.Key.Partition()) {
		m.send(name, it)
	}
}

// applyPlacement takes the agreed members and table.
func (m *Manager) applyPlacement(ev *Event) {
	if m.table != nil && ev.Table.Step <= m.table.Step {
		return
	}
	versionChanged := m.table == nil || ev.Table.Version != m.table.Version
	m.table = ev.Table
	clear(m.members)
	for i := range ev.Members {
		m.members[ev.Members[i].Name] = &ev.Members[i]
	}
	if !m.hasPlacement() {
		return
	}
	m.updateLostOwners()
	m.updateInherited()
	m.renewRegistrations()
	if versionChanged { // acknowledgements count in one version alone
		for _, req := range m.unacknowledged {
			req.refusals = req.refusals[:0]
			req.sentAt = 0
		}
		for _, in := range m.inherited {
			in.fetches = nil
		}
		clear(m.transfers)
	}
	m.followPlacement()
}

func (m *Manager) tick() {
	m.expireCopies()
	m.pacer.tick(m.now, len(m.adoptionQueue) > 0 || m.adoptionsInFlight > 0)
	if !m.hasPlacement() {
		m.failWaiting()
		return
	}
	m.resendUnacknowledged()
	m.resendWithdrawals()
	m.copyLongRunning()
	m.pollWaiting()
	m.followPlacement()
	m.expireQueries()
}

// followPlacement does what the agreed table calls for: transfers, claims and adoption.
func (m *Manager) followPlacement() {
	m.runTransfers()
	m.claimOrphans()
	m.gatherInherited()
	m.adoptQueued()
	m.reinitializePartitions()
}

// propose asks the consensus group to agree on a change, at most once in proposalRetryMS.
func (m *Manager) propose(kind ProposalKind, claim placement.AdoptionClaim, version uint64) {
	if !m.leaseHeld {
		return
	}
	key := proposalKey{kind, claim.Name, claim.Incarnation, claim.Partitions}
	if at, proposed := m.proposals[key]; proposed && m.now < at+proposalRetryMS {
		return
	}
	if len(m.proposals) > maxProposals {
		clear(m.proposals)
	}
	m.proposals[key] = m.now
	m.emit(Effect{Kind: Propose, Proposal: kind, Claim: claim, Version: version})
}

// Counts returns the counters.
func (m *Manager) Counts() Counts {
	c := m.counts
	c.CopiesStored = len(m.copies)
	c.OwnedRequests = len(m.owned)
	c.SuspendedRequests = len(m.waiting)
	for _, set := range m.openByOwner {
		c.Open += uint64(set.count)
	}
	return c
}

// Table returns the agreed table as far as it is known here, or nil.
func (m *Manager) Table() *placement.Table { return m.table }

// moreRecent reports whether a copy says more than another of the same key. One that may have run goes before one that cannot have; else
// the higher sequence counts, and of equal ones the one that knows that the request ran.
func moreRecent(a, b *Copy) bool {
	return cmp.Or(
		cmp.Compare(min(a.RunState, MayHaveRun), min(b.RunState, MayHaveRun)),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.RunState, b.RunState),
	) > 0
}

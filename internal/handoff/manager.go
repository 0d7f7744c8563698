package handoff

import (
	"cmp"
	"fmt"
	"hash/crc32"
	"math"
	"slices"

	"liftshift/internal/placement"
	"liftshift/scheduler"
)

// requestClass holds the settings of one class of requests.
type requestClass struct {
	name          string
	effect        scheduler.Idempotency
	dedupWindowMS float64 // for which executors drop repeats of a keyed request
	adoptable     bool    // a successor continues open requests of the class
}

// isAdoptable reports whether a successor may send open requests of a class. A non-idempotent request is never sent: its
// client was connected to the lost owner and may have sent it again elsewhere under another id, and nothing shows that
// the two are the same.
func isAdoptable(c scheduler.RequestClass, adoptClasses []string) bool {
	switch c.Idempotency {
	case scheduler.Keyed:
		return true
	case scheduler.Idempotent:
		return slices.Contains(adoptClasses, c.Name)
	default:
		return false
	}
}

// replicated reports whether requests of the class are registered with replicas before their first attempt.
func (c *requestClass) replicated() bool { return c.effect != scheduler.Idempotent }

// Manager replicates the open requests of one controller, stores copies for others, and adopts requests of lost
// owners. It is not safe for concurrent use.
type Manager struct {
	self                Member
	classes             []requestClass
	quorumLossMS        float64 // how long a partition must lack a quorum before it is reinitialized
	keyRetentionMS      float64
	maxAnswerBytes      int
	maxCopies           int
	copyAfterMS         float64 // 0: idempotent requests are not copied
	sendWithoutReplicas bool
	maxRetryAfterMS     float64
	retryBudget         scheduler.RetryBudget // for idempotent requests that are run again
	pacer               pacer
	seed                uint32
	randomDraws         uint64 // how many random numbers have been drawn from seed

	now              float64
	leaseHeld        bool
	shuttingDown     bool
	shutdownAt       float64
	shutdownDeadline float64 // by which all requests must be answered; infinite until a shutdown starts
	effects          []Effect
	outgoing         map[string]*Batch // batches sent at the end of the step, by member
	loopback         []loopbackMessage

	// The state agreed on by the consensus group.
	members map[string]*placement.Member
	table   *placement.Table

	// The state of this controller as a replica.
	copies       map[Key]*storedCopy
	copyBytes    int // total size of the stored bodies and answers
	openByOwner  map[Member]*ownerCopies
	expiryWheel  map[int64][]Key // by the second in which the copies may expire
	sweptUpTo    int64           // the second up to which the expiry wheel has been processed
	transfers    map[int]*partitionTransfer
	lostOwners   map[Member]float64      // when this controller learned that the owner is lost
	proposals    map[proposalKey]float64 // when the change was last proposed
	quorumLostAt map[int]float64         // by partition

	// The state of this controller as an owner.
	owned           map[Key]*ownedRequest
	ownedByID       map[string]*ownedRequest
	peerClocks      map[string]*peerClock // by member name
	clocksToLearn   []string              // members that are to be asked for their clock
	unacknowledged  []*ownedRequest       // requests whose latest message not all replicas have acknowledged
	withdrawals     []*withdrawal
	withdrawalsByID map[withdrawalID]*withdrawal
	waiting         []*waitingRequest
	recent          []recentRequest     // idempotent requests that are not due to be copied, in the order of arrival
	recentOpen      map[string]struct{} // ids of recent requests that are open
	queries         []*outcomeQuery

	// The state of this controller as a successor.
	claimedPartitions []*claimedPartition
	adoptionQueue     []*orphanedRequest
	queuedForAdoption map[Key]struct{}
	adoptionsInFlight int
	reruns            []float64 // when idempotent requests were run again, within the window of the retry budget
	arrivals          []float64 // when requests of this controller's own clients arrived, within the same window

	counts Counts
}

// loopbackMessage is a message from this controller to its own replica, with the reply.
type loopbackMessage struct {
	sent, reply Item
}

// proposalKey identifies a proposal, so that it is not repeated too soon.
type proposalKey struct {
	kind        ProposalKind
	name        string
	incarnation uint64
	partitions  uint32
}

// New returns the Manager of the controller self. The seed determines its random numbers.
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
		pacer: pacer{
			maxInFlight: float64(settings.MaxAdoptionsInFlight),
			started:     map[string]timedRequest{},
		},
		seed:              seed,
		shutdownDeadline:  math.Inf(1),
		outgoing:          map[string]*Batch{},
		members:           map[string]*placement.Member{},
		copies:            map[Key]*storedCopy{},
		openByOwner:       map[Member]*ownerCopies{},
		expiryWheel:       map[int64][]Key{},
		transfers:         map[int]*partitionTransfer{},
		lostOwners:        map[Member]float64{},
		proposals:         map[proposalKey]float64{},
		quorumLostAt:      map[int]float64{},
		owned:             map[Key]*ownedRequest{},
		ownedByID:         map[string]*ownedRequest{},
		peerClocks:        map[string]*peerClock{},
		withdrawalsByID:   map[withdrawalID]*withdrawal{},
		recentOpen:        map[string]struct{}{},
		queuedForAdoption: map[Key]struct{}{},
	}
	for _, c := range settings.Classes {
		class := requestClass{name: c.Name, effect: c.Idempotency, dedupWindowMS: c.DedupWindowMS}
		class.adoptable = isAdoptable(c, settings.AdoptClasses)
		m.classes = append(m.classes, class)
		m.pacer.baselines = append(m.pacer.baselines, durationBaseline{})
		if class.effect == scheduler.Keyed {
			m.quorumLossMS = max(m.quorumLossMS, class.dedupWindowMS, c.DeadlineMS)
		}
	}
	return m
}

// random returns a number in [0, 1). The same seed gives the same sequence of numbers.
func (m *Manager) random() float64 {
	m.randomDraws++
	return float64(crc32.ChecksumIEEE(fmt.Appendf(nil, "%d/%d", m.seed, m.randomDraws))) / (1 << 32)
}

// class returns the settings of the named class, or nil if there is none.
func (m *Manager) class(name string) *requestClass {
	if i := m.classIndex(name); i >= 0 {
		return &m.classes[i]
	}
	return nil
}

// classIndex returns the index of the named class in the settings, or -1.
func (m *Manager) classIndex(name string) int {
	return slices.IndexFunc(m.classes, func(c requestClass) bool { return c.name == name })
}

// emit adds an effect to those that Step returns. The pacer stops timing a request that ends without an outcome of its
// own.
func (m *Manager) emit(effect Effect) {
	if effect.Kind == AnswerSuspended || effect.Kind == CancelLocal {
		m.pacer.forget(effect.ID)
	}
	m.effects = append(m.effects, effect)
}

// Step processes one event and returns the effects to carry out. Now is the caller's clock in ms. The returned slice
// is valid until the next call.
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
	case AttemptPermitted:
		m.replicateAttempt(ev)
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
		m.shutdownDeadline = ev.Deadline
	case IncarnationChanged:
		m.self.Incarnation = ev.Incarnation
	case ReleaseRequested:
		m.releaseOrphan(ev.ID)
	case AdoptionRequested:
		m.claimOnRequest(ev.ID)
	case RetentionChanged:
		m.keyRetentionMS = ev.KeyRetentionMS
	}
}

// flush processes the replies of this controller's own replica, and sends the outgoing batches in the order of their
// receivers' names.
func (m *Manager) flush() {
	for len(m.loopback) > 0 {
		message := m.loopback[0]
		m.loopback = m.loopback[1:]
		m.handleReply(m.self, &message.sent, &message.reply)
	}
	names := make([]string, 0, len(m.outgoing))
	for name := range m.outgoing {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		batch := m.outgoing[name]
		batch.sentAt = m.now
		m.limitRecords(name, batch)
		m.emit(Effect{Kind: SendBatch, To: name, Batch: batch})
		m.counts.MessagesSent += uint64(len(batch.Items))
		delete(m.outgoing, name)
	}
}

// send queues an item for a member. An item for this controller itself is processed at once, and its reply is queued.
func (m *Manager) send(name string, item Item) {
	if name == m.self.Name {
		reply := m.handleItem(&Batch{From: m.self}, &item)
		m.loopback = append(m.loopback, loopbackMessage{item, reply})
		return
	}
	batch := m.outgoing[name]
	if batch == nil {
		batch = &Batch{From: m.self, Version: m.table.Version}
		m.outgoing[name] = batch
	}
	if item.Op == OpAdopt || item.Op == OpFetch { // the receiver must know the lost owners and the claims
		batch.PlacementStep = m.table.Step
	}
	batch.Items = append(batch.Items, item)
}

// sendToReplicas sends an item to all replicas of its key's partition.
func (m *Manager) sendToReplicas(item Item) {
	for _, name := range m.replicaNames(item.Key.Partition()) {
		m.send(name, item)
	}
}

// applyPlacement installs the members and the table that the consensus group agreed on, unless they are out of date.
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
	m.updatePeerClocks()
	m.updateLostOwners()
	m.updateClaimedPartitions()
	m.renewRegistrations()
	if versionChanged { // acknowledgements are valid only for the table version that they were given in
		for _, req := range m.unacknowledged {
			req.refusals = req.refusals[:0]
			req.sentAt = 0
		}
		for _, in := range m.claimedPartitions {
			in.fetches = nil
		}
		clear(m.transfers)
	}
	m.followPlacement()
}

// tick does the periodic work of all roles: expiry, resends, polls, and whatever the agreed table calls for.
func (m *Manager) tick() {
	m.expireCopies()
	m.pacer.tick(m.now, len(m.adoptionQueue) > 0 || m.adoptionsInFlight > 0)
	if !m.hasPlacement() {
		m.failWaiting()
		return
	}
	m.resendUnacknowledged()
	m.resendWithdrawals()
	m.learnClocks()
	m.copyLongRunning()
	m.pollWaiting()
	m.followPlacement()
	m.expireQueries()
}

// followPlacement advances the work that follows from the agreed table: transfers, claims, adoptions, and the
// reinitialization of partitions.
func (m *Manager) followPlacement() {
	m.runTransfers()
	m.claimOrphans()
	m.fetchClaimedPartitions()
	m.adoptQueued()
	m.reinitializePartitions()
}

// propose asks the consensus group to agree on a change, at most once per proposalRetryMS.
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

// KeyRetentionMS returns how long copies are kept that are stored from now on, as in Settings.
func (m *Manager) KeyRetentionMS() float64 { return m.keyRetentionMS }

// Counts returns the counters, with the current numbers of copies and requests.
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

// Table returns the latest agreed table known here, or nil if there is none.
func (m *Manager) Table() *placement.Table { return m.table }

// moreRecent reports whether copy a supersedes copy b of the same key. A report of the owner supersedes its earlier
// ones. Otherwise a request that may have run takes precedence over one that cannot have, then the higher sequence
// does, and then the copy that records a successful run.
func moreRecent(a, b *Copy) bool {
	switch {
	case reportsAfter(a, b):
		return true
	case reportsAfter(b, a):
		return false
	}
	return cmp.Or(
		cmp.Compare(min(a.RunState, MayHaveRun), min(b.RunState, MayHaveRun)),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.RunState, b.RunState),
	) > 0
}

// reportsAfter reports whether copy a has what the owner of both copies said of the same request after copy b. Only a
// confirmed or ended request is a report: the owner of one that is being registered may not know of earlier attempts.
func reportsAfter(a, b *Copy) bool {
	if a.Owner != b.Owner || a.ID != b.ID || a.Sequence <= b.Sequence {
		return false
	}
	return a.Confirmed || a.Outcome != Open
}

package adminapi

// The operations of the control socket. Their names and the JSON names of the fields below are part of its protocol,
// which controllers and tools of other versions use, too. Commands also print the Go names of the fields; see Describe.
const (
	OperationMembers       = "members"
	OperationMemberExplain = "members explain"
	OperationConsensus     = "council"
	OperationReplaceVoter  = "council move"
	OperationHandoff       = "estate"
	OperationCopyExplain   = "estate explain"
	OperationRelease       = "estate release"
	OperationAdopt         = "estate adopt"
	OperationLocality      = "zones"
	OperationZoneOrder     = "zones order"
	OperationZoneWhatIf    = "zones plan"
	OperationQuotas        = "budgets"
	OperationWaits         = "waits"
	OperationQueueExplain  = "explain"
	OperationSetQuota      = "set"
)

// NameRequest names the subject of an operation: a member, a request or an idempotency key. Author is the operator's
// user name where the operation is an order.
type NameRequest struct {
	Name   string `json:"name"`
	Author string `json:"who,omitempty"`
}

// Accepted is the reply to an order that is carried out after the reply.
type Accepted struct {
	Accepted bool `json:"asked"`
}

// MembersReply holds the membership view of one controller and the counters of its gossip.
type MembersReply struct {
	Cluster    string   `json:"fleet"`
	Self       string   `json:"self"`
	Members    []Member `json:"members"`
	Present    float64  `json:"present"` // controllers that share the executors
	Slowness   int      `json:"slow"`    // this controller's own health score; 0: healthy
	Probes     uint64   `json:"probes"`
	Unanswered uint64   `json:"unanswered"`
	Sent       uint64   `json:"sent"`
	SentBytes  uint64   `json:"sent_bytes"`
	Received   uint64   `json:"heard"`
	Hash       string   `json:"hash"`
}

// Member is one member of the membership view.
type Member struct {
	Name        string   `json:"name"`
	Incarnation string   `json:"life"`        // decimal; a JSON number would lose digits of 64 bits
	Refutation  uint64   `json:"incarnation"` // number of the member's latest refutation of a suspicion
	State       string   `json:"phase"`
	Flags       []string `json:"marks"`
	Address     string   `json:"address"`
	Zone        string   `json:"zone"`
	Region      string   `json:"region"`
	Version     uint32   `json:"version"`
	InStateMS   float64  `json:"for_ms"`
}

// MemberExplanation holds the state of a member and the observations behind it.
type MemberExplanation struct {
	Name        string     `json:"name"`
	State       string     `json:"phase"`
	InStateMS   float64    `json:"for_ms"`
	Address     string     `json:"address"`
	Incarnation string     `json:"life"`
	Refutation  uint64     `json:"incarnation"`
	AccusedBy   string     `json:"accused_by"`
	Evidence    []Evidence `json:"evidence"`
}

// Evidence is one observation of a member.
type Evidence struct {
	AgoMS       float64 `json:"ago_ms"`
	Observation string  `json:"what"`
	Reporter    string  `json:"who"`
}

// ConsensusReply holds a member's state in the consensus group and the group's agreed record.
type ConsensusReply struct {
	Formed       bool           `json:"founded"`
	Voter        bool           `json:"voter"`
	Failed       bool           `json:"broken"` // this voter cannot go on
	Leader       string         `json:"leader"`
	Term         uint64         `json:"term"`
	Commit       uint64         `json:"commit"`
	LogEntries   uint64         `json:"log"`
	LeaseHeld    bool           `json:"held"`
	LeaseLeftMS  float64        `json:"lease_ms"`
	Voters       []Voter        `json:"voters"`
	Members      []AgreedMember `json:"places"`
	DeclaredLost uint64         `json:"declared"`
}

// Voter is one voter of the consensus group.
type Voter struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	State string `json:"phase"`
	ID    string `json:"id"`
}

// AgreedMember is one member in the agreed record.
type AgreedMember struct {
	Name           string `json:"name"`
	Incarnation    string `json:"life"`
	Term           uint64 `json:"term"`
	Lost           bool   `json:"lost"`
	LeftGracefully bool   `json:"left"`
}

// ReplaceVoterRequest orders that the voter From is replaced by the member To.
type ReplaceVoterRequest struct {
	From string `json:"from"`
	To   string `json:"to"`
}

// HandoffReply holds what a controller stores for others, and the agreed replicas and adoption claims.
type HandoffReply struct {
	HandoffCounts
	*PlacementSummary                    // nil: nothing is agreed yet
	LeaseHeld         bool               `json:"held"`
	Replicas          []MemberPartitions `json:"chairs"`
	Claims            []AdoptionClaim    `json:"claimed"`
	Orphaned          []OrphanedCopies   `json:"orphans"`
}

// PlacementSummary summarizes the agreed placement of replicas.
type PlacementSummary struct {
	CopiesWanted      int    `json:"copies_wanted"`
	Version           uint64 `json:"version"`
	Step              uint64 `json:"step"`
	Partitions        int    `json:"parts"`
	PartitionsSettled int    `json:"parts_settled"`
}

// HandoffCounts counts what a controller did as owner, replica and successor.
// CopiesReceived = Settled + Adopted + Failed + Dropped + Open.
type HandoffCounts struct {
	CopiesStored         int    `json:"copies"`
	Open                 uint64 `json:"open"`
	CopiesReceived       uint64 `json:"held_copies"`
	Settled              uint64 `json:"settled"`
	Adopted              uint64 `json:"adopted"`
	Failed               uint64 `json:"written_off"`
	Dropped              uint64 `json:"dropped"`
	OwnedRequests        int    `json:"mine"`
	SuspendedRequests    int    `json:"waiting"`
	Registered           uint64 `json:"registered"`
	Waited               uint64 `json:"waited"` // requests that waited for another with the same idempotency key
	AnsweredFromCopy     uint64 `json:"told"`
	Refused              uint64 `json:"refused"`  // requests rejected as too few replicas could be reached
	Withheld             uint64 `json:"withheld"` // attempts that were not sent
	AttemptsUnreplicated uint64 `json:"alone"`    // attempts sent without any replica
	AdoptionClaims       uint64 `json:"claims"`
	AdoptionsStarted     uint64 `json:"taken"`
	AdoptionsDone        uint64 `json:"taken_done"`
	AdoptionsLate        uint64 `json:"late"`
	MessagesSent         uint64 `json:"words"`
	MessagesLost         uint64 `json:"lost"`
	CopiesFetched        uint64 `json:"pulled"`
	Calls                uint64 `json:"calls"`
	CallsFailed          uint64 `json:"calls_failed"`
	QueueDropped         uint64 `json:"lined_up_too_long"`
	Datagrams            uint64 `json:"datagrams"`
	DatagramsUnanswered  uint64 `json:"datagrams_unanswered"`
}

// MemberPartitions holds the number of partitions of which a member is a replica.
type MemberPartitions struct {
	Member     string `json:"member"`
	Partitions int    `json:"parts"`
}

// AdoptionClaim holds the successor that adopts a lost member's requests, and in how many partitions.
type AdoptionClaim struct {
	Member      string `json:"member"`
	Incarnation string `json:"life"`
	Successor   string `json:"heir"`
	Partitions  int    `json:"parts"`
}

// OrphanedCopies holds the number of open requests of a lost member that this controller has copies of.
type OrphanedCopies struct {
	Member string `json:"member"`
	Copies int    `json:"copies"`
}

// CopiesReply holds the copies that a controller has of one request.
type CopiesReply struct {
	Copies []Copy `json:"copies"`
}

// Copy describes a copy of a request.
type Copy struct {
	ID             string  `json:"id"`
	IdempotencyKey string  `json:"mark"`
	Class          string  `json:"offering"`
	State          string  `json:"state"`
	Owner          string  `json:"owner"`
	Incarnation    string  `json:"life"`
	Sequence       uint64  `json:"number"`
	Outcome        string  `json:"outcome"`
	RunState       string  `json:"ran"` // whether an attempt ran or may have run, as a sentence
	Zone           string  `json:"place"`
	LeftMS         float64 `json:"left_ms"` // until the request's deadline
	AnswerKept     bool    `json:"answer"`
	InFlightHere   bool    `json:"in_hand_here"`
}

// LocalityReply holds the agreed plan between zones and this controller's part in it.
type LocalityReply struct {
	Plan         uint64       `json:"plan"`
	Leader       string       `json:"leader"`
	LeaseHeld    bool         `json:"held"`
	Zones        []Zone       `json:"zones"`
	Pairs        []ZonePair   `json:"pairs"`
	Orders       []ZoneOrder  `json:"orders"`
	Reaches      []ZoneReach  `json:"reaches"`
	Reports      []ZoneReport `json:"reports"`
	Explanations []string     `json:"lines"` // of the latest plan; empty except at the leader
}

// Zone is the state of a zone.
type Zone struct {
	Name        string  `json:"zone"`
	Region      string  `json:"region"`
	State       string  `json:"state"`
	Stage       int     `json:"stage"`
	Flaps       int     `json:"flaps"` // consecutive losses, each soon after the one before
	Cores       float64 `json:"cores"`
	Controllers int     `json:"controllers"`
	Reason      string  `json:"why"`
}

// ZonePair limits the threads that requests of one zone may use in another.
type ZonePair struct {
	From   string  `json:"from"`
	To     string  `json:"to"`
	Cap    float64 `json:"cap"`
	Shares int     `json:"parts"` // controllers among which the cap is divided
}

// ZoneOrder is an operator's order in force.
type ZoneOrder struct {
	Kind   string `json:"kind"`
	Zone   string `json:"zone"`
	Author string `json:"author"`
	Reason string `json:"why"`
	Until  string `json:"until"`
}

// ZoneReach limits what this controller may send to a zone.
type ZoneReach struct {
	Zone       string  `json:"zone"`
	Tier       int     `json:"tier"` // order of preference
	Threads    float64 `json:"threads"`
	LatencyMS  float64 `json:"way_ms"`
	MinDensity float64 `json:"least"`
}

// ZoneReport summarizes what a zone's controllers report.
type ZoneReport struct {
	Zone          string  `json:"zone"`
	Observers     int     `json:"voices"` // controllers that report
	DemandThreads float64 `json:"wants"`
}

// ZoneOrderRequest gives an operator's order about a zone. For is a Go duration; some orders need none.
type ZoneOrderRequest struct {
	Kind   string `json:"kind"`
	Zone   string `json:"zone"`
	For    string `json:"for"`
	Reason string `json:"why"`
	Author string `json:"who"`
}

// ZoneOrderReply holds the time until which an order is in force.
type ZoneOrderReply struct {
	Accepted bool   `json:"asked"`
	Until    string `json:"until"`
}

// ZoneRequest names a zone or a region.
type ZoneRequest struct {
	Zone string `json:"zone"`
}

// LinesReply holds the lines of a text.
type LinesReply struct {
	Lines []string `json:"lines"`
}

// QuotasReply holds the state of all teams and the counters of the team queues.
type QuotasReply struct {
	Teams     []Team  `json:"teams"`
	Share     float64 `json:"part"`       // this controller's share of each ceiling
	Offered   uint64  `json:"offered"`    // requests passed from a team queue to the scheduler
	Aged      uint64  `json:"aged"`       // requests taken out of turn because of their wait
	Capped    uint64  `json:"pressed"`    // times that a request's priority was capped
	Uncapped  uint64  `json:"eased"`      // times that such a cap was lifted
	Overdue   uint64  `json:"overdue"`    // requests passed on despite a limit, as they could wait no longer
	Overflow  uint64  `json:"overflow"`   // requests that found their team's queue full
	Unknown   uint64  `json:"unknown"`    // requests that named a team that does not exist
	Queued    int     `json:"queued"`     // requests in the team queues
	LongestMS float64 `json:"longest_ms"` // longest wait so far
}

// Team is the state and limits of one team.
type Team struct {
	Name        string  `json:"team"`
	Parent      string  `json:"parent"`
	Weight      float64 `json:"weight"`
	Queued      int     `json:"queued"`
	InFlight    int     `json:"hand"`
	Threads     float64 `json:"threads"`
	FairShare   float64 `json:"due"`
	MemoryMB    float64 `json:"memory_mb"`
	WorkMS      float64 `json:"work_ms"`   // work done, in milliseconds of one thread
	Blocked     string  `json:"blocked"`   // limit that the team has reached; empty: none
	OldestMS    float64 `json:"oldest_ms"` // wait of its oldest queued request
	BoundMS     float64 `json:"bound_ms"`  // longest wait expected for a request that arrives now
	Borrows     float64 `json:"borrows"`   // threads above its fair share
	Lends       float64 `json:"lends"`     // threads of its fair share that others use
	Capped      int     `json:"pressed"`   // requests with a capped priority
	Ceiling     float64 `json:"ceiling"`
	MaxInFlight int     `json:"searches"`
}

// WaitsReply holds the accuracy of the wait estimates given to clients.
type WaitsReply struct {
	Waits []WaitAccuracy `json:"waits"`
}

// WaitAccuracy holds how many estimates of the start and of the end of requests were given for one team and request
// class, and how many of these requests started and ended within the estimate.
type WaitAccuracy struct {
	Team         string `json:"team"`
	Class        string `json:"offering"`
	Starts       uint64 `json:"starts"`
	StartsWithin uint64 `json:"starts_kept"`
	Ends         uint64 `json:"ends"`
	EndsWithin   uint64 `json:"ends_kept"`
}

// QueueExplainRequest names a queued request.
type QueueExplainRequest struct {
	ID string `json:"id"`
}

// QueueExplainReply holds the reason why a request is still queued.
type QueueExplainReply struct {
	Reason string `json:"why"`
}

// SetQuotaRequest changes limits of a team. A nil limit is left unchanged.
type SetQuotaRequest struct {
	Team     string   `json:"team"`
	Author   string   `json:"who"`
	Weight   *float64 `json:"weight,omitempty"`
	Ceiling  *float64 `json:"ceiling,omitempty"`
	Threads  *float64 `json:"threads,omitempty"`
	MemoryMB *float64 `json:"memory_mb,omitempty"`
	Requests *float64 `json:"searches,omitempty"`
	Queue    *float64 `json:"queue,omitempty"`
}

// SetQuotaReply reports whether the change survives a restart.
type SetQuotaReply struct {
	Lasts bool `json:"lasts"`
}

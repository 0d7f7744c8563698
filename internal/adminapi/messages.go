package adminapi

// The questions that a controller answers. Their names and the names of all fields below are the wire of the control socket: tools of
// other versions read them.
const (
	QuestionMembers       = "members"
	QuestionMemberExplain = "members explain"
	QuestionConsensus     = "council"
	QuestionReplaceVoter  = "council move"
	QuestionHandoff       = "estate"
	QuestionCopyExplain   = "estate explain"
	QuestionRelease       = "estate release"
	QuestionAdopt         = "estate adopt"
	QuestionLocality      = "zones"
	QuestionZoneOrder     = "zones order"
	QuestionZoneWhatIf    = "zones plan"
	QuestionQuotas        = "budgets"
	QuestionWaits         = "waits"
	QuestionQueueExplain  = "explain"
	QuestionSetQuota      = "set"
)

// NameRequest names what a question is about: a member, a request or an idempotency key.
type NameRequest struct {
	Name   string `json:"name"`
	Author string `json:"who,omitempty"`
}

// Accepted is the reply to what was taken on and shows later.
type Accepted struct {
	Accepted bool `json:"asked"`
}

// MembersReply is the membership view of one controller.
type MembersReply struct {
	Cluster    string   `json:"fleet"`
	Self       string   `json:"self"`
	Members    []Member `json:"members"`
	Present    float64  `json:"present"` // controllers that share the executors
	Slowness   int      `json:"slow"`
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
	Incarnation string   `json:"life"` // a text, as JSON numbers hold no 64 bits
	Refutation  uint64   `json:"incarnation"`
	State       string   `json:"phase"`
	Flags       []string `json:"marks"`
	Address     string   `json:"address"`
	Zone        string   `json:"zone"`
	Region      string   `json:"region"`
	Version     uint32   `json:"version"`
	InStateMS   float64  `json:"for_ms"`
}

// MemberExplanation is what was observed of a member.
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

// ConsensusReply is how a member stands to the consensus group, and the record that is agreed.
type ConsensusReply struct {
	Formed       bool           `json:"founded"`
	Voter        bool           `json:"voter"`
	Failed       bool           `json:"broken"`
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

// AgreedMember is one member in the record that is agreed.
type AgreedMember struct {
	Name           string `json:"name"`
	Incarnation    string `json:"life"`
	Term           uint64 `json:"term"`
	Lost           bool   `json:"lost"`
	LeftGracefully bool   `json:"left"`
}

// ReplaceVoterRequest has one voter replaced by another member.
type ReplaceVoterRequest struct {
	From string `json:"from"`
	To   string `json:"to"`
}

// HandoffReply is what a controller keeps for others, and what is agreed on replicas and adoption claims.
type HandoffReply struct {
	HandoffCounts
	*PlacementSummary                    // nil: nothing is agreed yet
	LeaseHeld         bool               `json:"held"`
	Replicas          []MemberPartitions `json:"chairs"`
	Claims            []AdoptionClaim    `json:"claimed"`
	Orphaned          []OrphanedCopies   `json:"orphans"`
}

// PlacementSummary sums up the agreed placement of replicas.
type PlacementSummary struct {
	CopiesWanted      int    `json:"copies_wanted"`
	Version           uint64 `json:"version"`
	Step              uint64 `json:"step"`
	Partitions        int    `json:"parts"`
	PartitionsSettled int    `json:"parts_settled"`
}

// HandoffCounts count what a controller did as owner, replica and successor. CopiesReceived = Settled + Adopted + Failed + Dropped + Open.
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
	Waited               uint64 `json:"waited"`
	AnsweredFromCopy     uint64 `json:"told"`
	Refused              uint64 `json:"refused"`
	Withheld             uint64 `json:"withheld"`
	AttemptsUnreplicated uint64 `json:"alone"`
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

// MemberPartitions is in how many partitions a member is a replica.
type MemberPartitions struct {
	Member     string `json:"member"`
	Partitions int    `json:"parts"`
}

// AdoptionClaim is who takes over how many partitions of a lost member's requests.
type AdoptionClaim struct {
	Member      string `json:"member"`
	Incarnation string `json:"life"`
	Successor   string `json:"heir"`
	Partitions  int    `json:"parts"`
}

// OrphanedCopies is how many open requests of a lost member are kept here.
type OrphanedCopies struct {
	Member string `json:"member"`
	Copies int    `json:"copies"`
}

// CopiesReply is what a controller knows of one request.
type CopiesReply struct {
	Copies []Copy `json:"copies"`
}

// Copy is a copy of a request.
type Copy struct {
	ID             string  `json:"id"`
	IdempotencyKey string  `json:"mark"`
	Class          string  `json:"offering"`
	State          string  `json:"state"`
	Owner          string  `json:"owner"`
	Incarnation    string  `json:"life"`
	Sequence       uint64  `json:"number"`
	Outcome        string  `json:"outcome"`
	RunState       string  `json:"ran"`
	Zone           string  `json:"place"`
	LeftMS         float64 `json:"left_ms"`
	AnswerKept     bool    `json:"answer"`
	InFlightHere   bool    `json:"in_hand_here"`
}

// LocalityReply is the agreed plan between zones and this controller's part in it.
type LocalityReply struct {
	Plan         uint64       `json:"plan"`
	Leader       string       `json:"leader"`
	LeaseHeld    bool         `json:"held"`
	Zones        []Zone       `json:"zones"`
	Pairs        []ZonePair   `json:"pairs"`
	Orders       []ZoneOrder  `json:"orders"`
	Reaches      []ZoneReach  `json:"reaches"`
	Reports      []ZoneReport `json:"reports"`
	Explanations []string     `json:"lines"`
}

// Zone is how a zone stands.
type Zone struct {
	Name        string  `json:"zone"`
	Region      string  `json:"region"`
	State       string  `json:"state"`
	Stage       int     `json:"stage"`
	Flaps       int     `json:"flaps"`
	Cores       float64 `json:"cores"`
	Controllers int     `json:"controllers"`
	Reason      string  `json:"why"`
}

// ZonePair is what may go from one zone to another.
type ZonePair struct {
	From   string  `json:"from"`
	To     string  `json:"to"`
	Cap    float64 `json:"cap"`
	Shares int     `json:"parts"`
}

// ZoneOrder is an operator's order in force.
type ZoneOrder struct {
	Kind   string `json:"kind"`
	Zone   string `json:"zone"`
	Author string `json:"author"`
	Reason string `json:"why"`
	Until  string `json:"until"`
}

// ZoneReach is how far this controller's requests may go.
type ZoneReach struct {
	Zone       string  `json:"zone"`
	Tier       int     `json:"tier"`
	Threads    float64 `json:"threads"`
	LatencyMS  float64 `json:"way_ms"`
	MinDensity float64 `json:"least"`
}

// ZoneReport sums up what a zone's controllers report.
type ZoneReport struct {
	Zone          string  `json:"zone"`
	Observers     int     `json:"voices"`
	DemandThreads float64 `json:"wants"`
}

// ZoneOrderRequest gives an order about a zone.
type ZoneOrderRequest struct {
	Kind   string `json:"kind"`
	Zone   string `json:"zone"`
	For    string `json:"for"`
	Reason string `json:"why"`
	Author string `json:"who"`
}

// ZoneOrderReply says until when an order holds.
type ZoneOrderReply struct {
	Accepted bool   `json:"asked"`
	Until    string `json:"until"`
}

// ZoneRequest names a zone or a region.
type ZoneRequest struct {
	Zone string `json:"zone"`
}

// LinesReply is a text, line by line.
type LinesReply struct {
	Lines []string `json:"lines"`
}

// QuotasReply is how all teams stand.
type QuotasReply struct {
	Teams     []Team  `json:"teams"`
	Share     float64 `json:"part"` // of every ceiling, this controller's
	Offered   uint64  `json:"offered"`
	Aged      uint64  `json:"aged"`
	Capped    uint64  `json:"pressed"`
	Uncapped  uint64  `json:"eased"`
	Overdue   uint64  `json:"overdue"`
	Overflow  uint64  `json:"overflow"`
	Unknown   uint64  `json:"unknown"`
	Queued    int     `json:"queued"`
	LongestMS float64 `json:"longest_ms"`
}

// Team is how one team stands.
type Team struct {
	Name        string  `json:"team"`
	Parent      string  `json:"parent"`
	Weight      float64 `json:"weight"`
	Queued      int     `json:"queued"`
	InFlight    int     `json:"hand"`
	Threads     float64 `json:"threads"`
	FairShare   float64 `json:"due"`
	MemoryMB    float64 `json:"memory_mb"`
	WorkMS      float64 `json:"work_ms"`
	Blocked     string  `json:"blocked"`
	OldestMS    float64 `json:"oldest_ms"`
	BoundMS     float64 `json:"bound_ms"`
	Borrows     float64 `json:"borrows"`
	Lends       float64 `json:"lends"`
	Capped      int     `json:"pressed"`
	Ceiling     float64 `json:"ceiling"`
	MaxInFlight int     `json:"searches"`
}

// WaitsReply is how well the waits told to clients held.
type WaitsReply struct {
	Waits []WaitAccuracy `json:"waits"`
}

// WaitAccuracy is that of one team and request class.
type WaitAccuracy struct {
	Team         string `json:"team"`
	Class        string `json:"offering"`
	Starts       uint64 `json:"starts"`
	StartsWithin uint64 `json:"starts_kept"`
	Ends         uint64 `json:"ends"`
	EndsWithin   uint64 `json:"ends_kept"`
}

// QueueExplainRequest names a request that waits.
type QueueExplainRequest struct {
	ID string `json:"id"`
}

// QueueExplainReply says why it waits.
type QueueExplainReply struct {
	Reason string `json:"why"`
}

// SetQuotaRequest changes limits of a team; those that are nil stay.
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

// SetQuotaReply says whether the change lasts through a restart.
type SetQuotaReply struct {
	Lasts bool `json:"lasts"`
}

package handoff

import "liftshift/internal/placement"

// Times in ms.
const (
	registrationTimeoutMS = 1000  // outlasts a stalled replica, not two elections
	holdTimeoutMS         = 300   // for which an attempt or a rejection waits for a quorum
	sendAllowanceMS       = 600   // within which an attempt that starts now has left: it is held, and its connection comes up
	resendMS              = 120   // base of the backoff for messages that were not answered
	pollMS                = 150   // between two looks at a request that another controller owns
	ageUncertaintyMS      = 1000  // by which an age that a peer reports may be too low: the longest time in transit
	shutdownGraceMS       = 2000  // after which a controller that shuts down answers the requests that still wait
	answerMarginMS        = 60    // before its deadline a waiting request is answered
	adoptionGatherMS      = 1000  // for which a successor puts off adoption until it knows all that it has claimed
	claimRetentionMS      = 3000  // for which a claim stays for replicas that have not acknowledged what was adopted
	proposalRetryMS       = 400   // between two proposals of the same change, and between two successors' claims
	adoptionScanMS        = 1000  // between two looks at what of a claim is still to be adopted
	queryTimeoutMS        = 800   // after which a query that too few replicas have answered is answered as unknown
	jitterMS              = 100   // keeps controllers that want the same key out of step
	unknownAttemptTime    = -1e12 // stands for the time of an attempt that nobody can tell
	neverFetched          = -1e9  // as the time of a fetch: it is due at once
)

const (
	maxWithdrawals = 8192
	maxCloseSends  = 40 // of the close of a request that replicas do not answer
	maxTransfers   = 8  // partitions that are copied at a time
	maxProposals   = 4 * placement.PartitionCount
	pageBytes      = 256 << 10
	pageItems      = 256
	pageItemBytes  = 200      // of an item besides body and answer, as estimated
	replyPages     = 4        // pages in the reply to one batch
	maxCopyBytes   = 64 << 20 // of bodies and answers that a replica stores
	idReplicas     = 2        // replicas that store which key an id stands for
)

const (
	defaultAdoptAtOnce    = 64
	defaultMaxCopies      = 200000
	defaultMaxAnswerBytes = 4096
	defaultKeyRetentionMS = 600000
	defaultCopyAfterMS    = 50
)

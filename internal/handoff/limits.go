package handoff

import "liftshift/internal/placement"

// Timeouts, intervals and margins. Names ending in MS are in milliseconds.
const (
	// registrationTimeoutMS limits a registration: long enough for a stalled replica, too short for two elections.
	registrationTimeoutMS = 1000
	// holdTimeoutMS limits how long an attempt or a rejection waits for a quorum.
	holdTimeoutMS = 300
	// sendAllowanceMS is the time within which a starting attempt is sent: it is held, and its connection is opened.
	sendAllowanceMS = 600
	// resendMS is the base of the backoff for messages that were not acknowledged.
	resendMS = 120
	// pollMS is the interval between two queries for a request that another controller owns.
	pollMS = 150
	// ageUncertaintyMS is how much too low an age reported by a peer may be: the longest time in transit.
	ageUncertaintyMS = 1000
	// shutdownGraceMS is how long suspended requests keep waiting after a shutdown began.
	shutdownGraceMS = 2000
	// answerMarginMS is how long before its deadline a waiting request is answered.
	answerMarginMS = 60
	// adoptionFetchWaitMS is how long a successor delays adoption until it has fetched everything that it claimed.
	adoptionFetchWaitMS = 1000
	// claimRetentionMS is how long a claim is kept for replicas that have not acknowledged the adoption of a request.
	claimRetentionMS = 3000
	// proposalRetryMS is the interval between two proposals of the same change, and between two successors' claims.
	proposalRetryMS = 400
	// adoptionScanMS is the interval between two scans for requests of a claim that are still to be adopted.
	adoptionScanMS = 1000
	// queryTimeoutMS limits how long an outcome query waits for replies before it is answered with what is known.
	queryTimeoutMS = 800
	// jitterMS is the largest random delay of a poll, so that controllers waiting for the same key do not synchronize.
	jitterMS = 100
	// unknownAttemptTime is the time of an attempt that started at an unknown time.
	unknownAttemptTime = -1e12
	// neverFetched is the time of the last fetch before the first one, which is then due at once.
	neverFetched = -1e9
)

const (
	maxWithdrawals = 8192
	// maxCloseSends limits how often the close of a request is sent to replicas that do not acknowledge it.
	maxCloseSends = 40
	// maxTransfers limits how many partitions are copied at a time.
	maxTransfers = 8
	maxProposals = 4 * placement.PartitionCount
	maxPageBytes = 256 << 10
	maxPageItems = 256
	// pageItemOverheadBytes is the estimated size of a copy in a page without its body and answer.
	pageItemOverheadBytes = 200
	// maxReplyPages is the number of full pages that fit into the reply to one batch.
	maxReplyPages = 4
	// maxCopyBytes limits the bodies and answers that a replica stores.
	maxCopyBytes = 64 << 20
	// idMappingReplicas is the number of replicas that store which idempotency key a request id belongs to.
	idMappingReplicas = 2
)

const (
	defaultMaxAdoptionsInFlight = 64
	defaultMaxCopies            = 200000
	defaultMaxAnswerBytes       = 4096
	defaultKeyRetentionMS       = 600000
	defaultCopyAfterMS          = 50
)

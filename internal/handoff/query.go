package handoff

import "slices"

// outcomeQuery is a client's query for the outcome of a request.
type outcomeQuery struct {
	token      uint64
	key        Key
	startedAt  float64
	mostRecent *Copy    // the most recent copy that replicas have reported
	repliedBy  []Member // replicas that have replied
}

// startQuery asks the replicas of a request for its outcome.
func (m *Manager) startQuery(ev *Event) {
	query := &outcomeQuery{token: ev.Token, key: KeyOf(ev.IdempotencyKey, ev.ID), startedAt: m.now}
	if !m.hasPlacement() {
		m.emit(Effect{Kind: ReplyOutcome, Token: query.token, Outcome: Unknown})
		return
	}
	m.queries = append(m.queries, query)
	m.sendToReplicas(Item{Op: OpQuery, Key: query.key})
}

// updateQueries applies a replica's reply to the queries for its key, and answers those that it completes.
func (m *Manager) updateQueries(from Member, sent, reply *Item) {
	remaining := m.queries[:0]
	for _, query := range m.queries {
		if query.key == sent.Key && query.acceptsReply(from, reply) && m.updateQuery(query, from, reply) {
			m.answerQuery(query)
			continue
		}
		remaining = append(remaining, query)
	}
	clear(m.queries[len(remaining):])
	m.queries = remaining
}

// acceptsReply reports whether a reply is the first valid one of its replica to this query.
func (q *outcomeQuery) acceptsReply(from Member, reply *Item) bool {
	if slices.Contains(q.repliedBy, from) {
		return false
	}
	return reply.Op == OpKnown || reply.Op == OpUnknown && reply.Reason != reasonNotReady
}

// updateQuery records a replica's reply to a query, and reports whether the query can be answered.
func (m *Manager) updateQuery(query *outcomeQuery, from Member, reply *Item) bool {
	query.repliedBy = append(query.repliedBy, from)
	if c := reply.Copy; reply.Op == OpKnown && c != nil {
		if c.IdempotencyKey != "" && c.Outcome == Unknown { // the copy maps the request id to its idempotency key
			query.key, query.repliedBy, query.mostRecent = KeyOf(c.IdempotencyKey, ""), nil, nil
			m.sendToReplicas(Item{Op: OpQuery, Key: query.key})
			return false
		}
		if query.mostRecent == nil || moreRecent(c, query.mostRecent) {
			query.mostRecent = c
		}
	}
	partition := query.key.Partition()
	if !m.hasQuorum(partition, query.repliedBy) {
		return false
	}
	// Fewer replicas than a quorum store the mapping of an id to its idempotency key, so the request is unknown only
	// if no replica knows of it.
	return query.mostRecent != nil || len(query.repliedBy) >= len(m.replicaNames(partition))
}

// answerQuery answers a query from the most recent copy reported so far.
func (m *Manager) answerQuery(query *outcomeQuery) {
	effect := Effect{Kind: ReplyOutcome, Token: query.token, Outcome: Unknown}
	if c := query.mostRecent; c != nil && c.Outcome != Withdrawn {
		effect.Outcome = c.Outcome
		effect.Answer = c.Answer
		effect.Owner = c.Owner.Name
		effect.AfterMS = max(0, m.now-c.FirstAttemptAt)
	}
	m.emit(effect)
}

// expireQueries answers queries that have timed out with what is known so far.
func (m *Manager) expireQueries() {
	remaining := m.queries[:0]
	for _, query := range m.queries {
		if m.now > query.startedAt+queryTimeoutMS {
			m.answerQuery(query)
			continue
		}
		remaining = append(remaining, query)
	}
	clear(m.queries[len(remaining):])
	m.queries = remaining
}

// CopyStatus is the state of a request that this controller stores a copy of, or owns, as shown to operators.
type CopyStatus struct {
	Copy         Copy
	State        string // of the stored copy
	InFlightHere bool   // this controller owns the request
}

// ownedState is the CopyStatus.State of a request that is owned here and has no stored copy here. Operators' tools
// read it, so it must not change.
const ownedState = "in hand here"

// Explain returns the requests known here with the given id or idempotency key.
func (m *Manager) Explain(name string) (list []CopyStatus) {
	for _, key := range []Key{KeyOf("", name), KeyOf(name, "")} {
		if stored := m.copies[key]; stored != nil {
			list = append(list, CopyStatus{stored.Copy, stored.state.String(), m.owned[key] != nil})
		} else if req := m.owned[key]; req != nil {
			list = append(list, CopyStatus{req.Copy, ownedState, true})
		}
	}
	return list
}

// OrphanedRequests counts the open copies of lost owners that are stored here, by the owner's name.
func (m *Manager) OrphanedRequests() map[string]int {
	counts := map[string]int{}
	for owner, set := range m.openByOwner {
		if m.table != nil && m.isLost(owner) {
			counts[owner.Name] += set.count
		}
	}
	return counts
}

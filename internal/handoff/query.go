package handoff

import "slices"

// outcomeQuery is a client's question about the outcome of a request.
type outcomeQuery struct {
	token     uint64
	key       Key
	startedAt float64
	best      *Copy
	replied   []Member
}

// startQuery asks the replicas of a request what became of it.
func (m *Manager) startQuery(ev *Event) {
	q := &outcomeQuery{token: ev.Token, key: KeyOf(ev.IdempotencyKey, ev.ID), startedAt: m.now}
	if !m.hasPlacement() {
		m.emit(Effect{Kind: ReplyOutcome, Token: q.token, Outcome: Unknown})
		return
	}
	m.queries = append(m.queries, q)
	m.sendToReplicas(Item{Op: OpQuery, Key: q.key})
}

// updateQueries takes what a replica knows of a key that clients asked about.
func (m *Manager) updateQueries(from Member, sent, reply *Item) {
	remaining := m.queries[:0]
	for _, q := range m.queries {
		if q.key == sent.Key && q.counts(from, reply) && m.updateQuery(q, from, reply) {
			m.answerQuery(q)
			continue
		}
		remaining = append(remaining, q)
	}
	clear(m.queries[len(remaining):])
	m.queries = remaining
}

// counts reports whether a replica's reply tells anything new about a query.
func (q *outcomeQuery) counts(from Member, reply *Item) bool {
	if slices.Contains(q.replied, from) {
		return false
	}
	return reply.Op == OpKnown || reply.Op == OpUnknown && reply.Reason != reasonNotReady
}

// updateQuery takes a replica's reply to one query, and reports whether it can be answered.
func (m *Manager) updateQuery(q *outcomeQuery, from Member, reply *Item) bool {
	q.replied = append(q.replied, from)
	if c := reply.Copy; reply.Op == OpKnown && c != nil {
		if c.IdempotencyKey != "" && c.Outcome == Unknown { // the id stands for a key
			q.key, q.replied, q.best = KeyOf(c.IdempotencyKey, ""), nil, nil
			m.sendToReplicas(Item{Op: OpQuery, Key: q.key})
			return false
		}
		if q.best == nil || moreRecent(c, q.best) {
			q.best = c
		}
	}
	partition := q.key.Partition()
	if !m.hasQuorum(partition, q.replied) {
		return false
	}
	// Fewer than a quorum store which key an id stands for: that nothing is known of it takes the replies of all.
	return q.best != nil || len(q.replied) >= len(m.replicaNames(partition))
}

func (m *Manager) answerQuery(q *outcomeQuery) {
	f := Effect{Kind: ReplyOutcome, Token: q.token, Outcome: Unknown}
	if c := q.best; c != nil && c.Outcome != Withdrawn {
		f.Outcome = c.Outcome
		f.Answer = c.Answer
		f.Owner = c.Owner.Name
		f.AfterMS = max(0, m.now-c.FirstAttemptAt)
	}
	m.emit(f)
}

// expireQueries answers queries that have waited for too long by what is known by now.
func (m *Manager) expireQueries() {
	remaining := m.queries[:0]
	for _, q := range m.queries {
		if m.now > q.startedAt+queryTimeoutMS {
			m.answerQuery(q)
			continue
		}
		remaining = append(remaining, q)
	}
	clear(m.queries[len(remaining):])
	m.queries = remaining
}

// CopyStatus is the state of a request whose copy is stored here, for the operators.
type CopyStatus struct {
	Copy         Copy
	State        string
	InFlightHere bool
}

// ownedState is the CopyStatus.State of a request that is owned here and not stored.
const ownedState = "in hand here"

// Explain returns what is known here of an id or an idempotency key.
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

// OrphanedRequests counts the open copies of lost owners, by the owner's name.
func (m *Manager) OrphanedRequests() map[string]int {
	counts := map[string]int{}
	for owner, set := range m.openByOwner {
		if m.table != nil && m.isLost(owner) {
			counts[owner.Name] += set.count
		}
	}
	return counts
}

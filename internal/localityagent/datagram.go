package localityagent

import (
	"encoding/binary"
	"encoding/json"
	"net/netip"
	"slices"

	"liftshift/internal/consensus"
	"liftshift/internal/locality"
)

// Kinds of datagrams, which are part of the wire format. A datagram consists of its kind in one byte, the length of
// the sender's name in one byte, the name, and the content that is given here for each kind.
const (
	datagramReport       = 'r' // an encoded report
	datagramAnnouncement = 'n' // the number of a plan as a uvarint
	datagramLoanRequest  = 'q' // the request's ID in 8 bytes, the zone
	datagramLoan         = 'l' // the request's ID in 8 bytes, the threads in 2 bytes, the zone
)

const (
	headerBytes    = 2  // the kind and the length of the sender's name
	maxNameBytes   = 64 // of a member or a zone
	loanIDBytes    = 8
	loanThreadsEnd = loanIDBytes + 2
)

// step passes an event to the monitor and executes the effects. They are copied, because the monitor reuses its slice
// in the next step.
func (a *Agent) step(now float64, ev *locality.Event) {
	for _, e := range slices.Clone(a.Monitor.Step(now, ev)) {
		a.execute(now, &e)
	}
}

func (a *Agent) execute(now float64, e *locality.Effect) {
	switch e.Kind {
	case locality.SendReport:
		a.send(e.To, datagramReport, e.Data)
	case locality.AnnouncePlan:
		a.send(e.To, datagramAnnouncement, binary.AppendUvarint(nil, e.Number))
	case locality.RequestLoan:
		content := binary.BigEndian.AppendUint64(nil, e.Number)
		a.send(e.To, datagramLoanRequest, append(content, e.Zone...))
	case locality.GrantLoan:
		content := binary.BigEndian.AppendUint64(nil, e.Number)
		content = binary.BigEndian.AppendUint16(content, uint16(e.Threads))
		a.send(e.To, datagramLoan, append(content, e.Zone...))
	case locality.FetchPlan:
		a.node.FetchPlan(now, a.Monitor.Plan().Number)
	case locality.ProposePlan:
		if data, err := json.Marshal(e.Plan); err == nil {
			a.node.Propose(consensus.PlanProposal(e.Plan.Number, data))
		}
	case locality.LogWarning:
		a.log.Warn("locality: " + e.Text)
	case locality.SetReach:
		a.latestReach.Store(&reachUpdate{e.Zone, e.Reaches, e.Number})
		select {
		case a.reachChanged <- struct{}{}:
		default: // a notification is pending, and its receiver will load this update
		}
	}
}

// send sends a datagram to a member. It does nothing if the membership view has no valid address of that member.
func (a *Agent) send(to string, kind byte, content []byte) {
	member, known := a.view.Find(to)
	address, err := netip.ParseAddrPort(member.Address)
	if !known || err != nil {
		return
	}
	datagram := append([]byte{kind, byte(len(a.name))}, a.name...)
	a.transport.SendLocality(address, append(datagram, content...))
}

// receiveDatagram queues a received datagram for the monitor. It runs on the transport's receiving goroutine. Malformed
// datagrams are ignored.
func (a *Agent) receiveDatagram(_ netip.AddrPort, data []byte) {
	ev, ok := decodeDatagram(data)
	if !ok {
		return
	}
	a.transport.TryPost(func(now float64) { a.step(now, &ev) })
}

// decodeDatagram decodes a datagram into an event for the monitor. It returns false if the datagram is malformed.
func decodeDatagram(data []byte) (ev locality.Event, ok bool) {
	if len(data) < headerBytes {
		return ev, false
	}
	nameBytes := int(data[1])
	if nameBytes > maxNameBytes || len(data) < headerBytes+nameBytes {
		return ev, false
	}
	ev.From = string(data[headerBytes : headerBytes+nameBytes])
	content := data[headerBytes+nameBytes:]
	switch data[0] {
	case datagramReport:
		ev.Kind = locality.ReportReceived
		ev.Data = content
		return ev, true
	case datagramAnnouncement:
		ev.Kind = locality.PlanAnnounced
		ev.Number, _ = binary.Uvarint(content)
		return ev, true
	case datagramLoanRequest:
		return decodeLoan(ev, locality.LoanRequested, content, loanIDBytes)
	case datagramLoan:
		ev, ok = decodeLoan(ev, locality.LoanGranted, content, loanThreadsEnd)
		if ok {
			ev.Threads = float64(binary.BigEndian.Uint16(content[loanIDBytes:]))
		}
		return ev, ok
	}
	return ev, false
}

// decodeLoan decodes the ID and the zone of a loan or of the request for one. The zone starts at zoneOffset and takes
// the rest of the content.
func decodeLoan(ev locality.Event, kind locality.EventKind, content []byte, zoneOffset int) (locality.Event, bool) {
	if len(content) <= zoneOffset || len(content) > zoneOffset+maxNameBytes {
		return ev, false
	}
	ev.Kind = kind
	ev.Number = binary.BigEndian.Uint64(content)
	ev.Zone = string(content[zoneOffset:])
	return ev, true
}

package simproto

import (
	"encoding/base64"
	"math"
	"strconv"

	"liftshift/scheduler"
)

// actionTags are the tags of the lines for actions.
var actionTags = [...]string{
	scheduler.Send:         "ASSIGN",
	scheduler.SetResources: "RESOURCES",
	scheduler.Cancel:       "CALL_OFF",
	scheduler.Reject:       "TURN_AWAY",
	scheduler.Fail:         "REPORT_FAILURE",
	scheduler.SetTimer:     "SLEEP",
	scheduler.HealthCheck:  "PROBE",
	scheduler.Subscribe:    "LISTEN",
	scheduler.Log:          "LOG",
	scheduler.SendPeer:     "SHARE",
}

// AppendAction appends the line for an action of an instance to b.
func AppendAction(b []byte, instance int, a *scheduler.Action) []byte {
	b = append(b, actionTags[a.Kind]...)
	b = appendInt(b, "I", int64(instance))
	switch a.Kind {
	case scheduler.Send:
		b = appendText(b, "Handle", a.Request)
		b = appendInt(b, "Executor", int64(a.Executor))
	case scheduler.SetResources:
		b = appendText(b, "Handle", a.Request)
		b = strconv.AppendFloat(append(b, "\tGrantMb="...), a.GrantMB, 'f', -1, 64)
		b = appendInt(b, "Prio", int64(a.Level))
	case scheduler.Cancel:
		b = appendText(b, "Handle", a.Request)
		b = appendInt(b, "N", int64(a.Attempt))
	case scheduler.Reject:
		b = appendText(b, "Handle", a.Request)
		if a.AfterMS > 0 {
			b = appendInt(b, "ComeBack", int64(a.AfterMS*usPerMS))
		}
	case scheduler.Fail:
		b = appendText(b, "Handle", a.Request)
	case scheduler.SetTimer:
		b = appendInt(b, "Delay", int64(math.Ceil(a.AfterMS*usPerMS)))
		b = appendInt(b, "KeyBack", int64(a.Token))
	case scheduler.HealthCheck:
		b = appendInt(b, "Executor", int64(a.Executor))
	case scheduler.Subscribe:
		b = appendInt(b, "Active", 1)
	case scheduler.SendPeer:
		b = appendPeer(b, a.Peer)
		b = base64.StdEncoding.AppendEncode(append(b, "\tData="...), a.Payload)
	case scheduler.Log:
		b = appendText(b, "BodyText", a.Text)
	}
	return append(b, '\n')
}

// AppendBatchEnd appends the line that ends the answer to a batch.
func AppendBatchEnd(b []byte, number uint64) []byte {
	b = append(b, "FINISHED\tseq="...)
	b = strconv.AppendUint(b, number, 10)
	return append(b, '\n')
}

// appendPeer appends the receiver of a message.
func appendPeer(b []byte, peer int) []byte {
	if peer < 0 {
		return appendText(b, "Dest", "*")
	}
	return appendInt(b, "Dest", int64(peer))
}

func appendText(b []byte, name, value string) []byte {
	b = append(b, '\t')
	b = append(b, name...)
	b = append(b, '=')
	return append(b, value...)
}

func appendInt(b []byte, name string, value int64) []byte {
	b = appendText(b, name, "")
	return strconv.AppendInt(b, value, 10)
}

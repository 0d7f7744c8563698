package simproto

import (
	"encoding/base64"
	"math"
	"strconv"

	"liftshift/scheduler"
)

// actionTags holds the tag of the line for each kind of action.
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

// AppendAction appends the line for an action of a scheduler instance to b.
func AppendAction(b []byte, instance int, action *scheduler.Action) []byte {
	b = append(b, actionTags[action.Kind]...)
	b = appendInt(b, "I", int64(instance))
	switch action.Kind {
	case scheduler.Send:
		b = appendText(b, "Handle", action.Request)
		b = appendInt(b, "Executor", int64(action.Executor))
	case scheduler.SetResources:
		b = appendText(b, "Handle", action.Request)
		b = strconv.AppendFloat(append(b, "\tGrantMb="...), action.GrantMB, 'f', -1, 64)
		b = appendInt(b, "Prio", int64(action.Level))
	case scheduler.Cancel:
		b = appendText(b, "Handle", action.Request)
		b = appendInt(b, "N", int64(action.Attempt))
	case scheduler.Reject:
		b = appendText(b, "Handle", action.Request)
		if action.AfterMS > 0 {
			b = appendInt(b, "ComeBack", int64(action.AfterMS*microsecondsPerMS))
		}
	case scheduler.Fail:
		b = appendText(b, "Handle", action.Request)
	case scheduler.SetTimer:
		b = appendInt(b, "Delay", int64(math.Ceil(action.AfterMS*microsecondsPerMS)))
		b = appendInt(b, "KeyBack", int64(action.Token))
	case scheduler.HealthCheck:
		b = appendInt(b, "Executor", int64(action.Executor))
	case scheduler.Subscribe:
		b = appendInt(b, "Active", 1)
	case scheduler.SendPeer:
		b = appendPeer(b, action.Peer)
		b = base64.StdEncoding.AppendEncode(append(b, "\tData="...), action.Payload)
	case scheduler.Log:
		b = appendText(b, "BodyText", action.Text)
	}
	return append(b, '\n')
}

// AppendBatchEnd appends the line that ends the reply to a batch to b.
func AppendBatchEnd(b []byte, number uint64) []byte {
	b = append(b, "FINISHED\tseq="...)
	b = strconv.AppendUint(b, number, 10)
	return append(b, '\n')
}

// appendPeer appends the destination of a message; a negative one stands for all peers.
func appendPeer(b []byte, peer int) []byte {
	if peer < 0 {
		return appendText(b, "Dest", "*")
	}
	return appendInt(b, "Dest", int64(peer))
}

// appendText appends a field with a text value.
func appendText(b []byte, name, value string) []byte {
	b = append(b, '\t')
	b = append(b, name...)
	b = append(b, '=')
	return append(b, value...)
}

// appendInt appends a field with an integer value.
func appendInt(b []byte, name string, value int64) []byte {
	b = appendText(b, name, "")
	return strconv.AppendInt(b, value, 10)
}

package side

import (
	"fmt"

	"acaciawinch/core"
	"acaciawinch/wire/wirepb"
)

// keyOf returns the attempt that a message names; a missing key is the zero key.
func keyOf(m *wirepb.AttemptKey) core.AttemptKey {
	return core.AttemptKey{
		Request: core.RequestID(m.GetRequestId()),
		Stage:   m.GetStage(),
		Number:  m.GetAttempt(),
		Side:    core.Incarnation(m.GetSideIncarnation()),
	}
}

// keyMessage returns the message that names an attempt.
func keyMessage(key core.AttemptKey) *wirepb.AttemptKey {
	return &wirepb.AttemptKey{
		RequestId:       string(key.Request),
		Stage:           key.Stage,
		Attempt:         key.Number,
		SideIncarnation: uint64(key.Side),
	}
}

// callID is the name of an attempt at the upstream.
func callID(key core.AttemptKey) string {
	return fmt.Sprintf("%s/%s/%d", key.Request, key.Stage, key.Number)
}

// refusedEvent returns the event that refuses an attempt.
func refusedEvent(key core.AttemptKey, refused *wirepb.Refused) *wirepb.RunEvent {
	return &wirepb.RunEvent{Key: keyMessage(key), Event: &wirepb.RunEvent_Refused{Refused: refused}}
}

// failedEvent returns the event that ends an attempt without a result.
func failedEvent(key core.AttemptKey, failed *wirepb.Failed) *wirepb.RunEvent {
	return &wirepb.RunEvent{Key: keyMessage(key), Event: &wirepb.RunEvent_Failed{Failed: failed}}
}

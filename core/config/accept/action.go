package accept

import "acaciawinch/core/config"

// action returns the call to make in the present state.
func (m *Machine) action() Action {
	switch m.state.State() {
	case stateReading:
		return Action{Kind: ActionGet, Key: config.HeadKey}
	case stateChecking:
		return readPart(m.missingParts()[0])
	case stateWriting:
		return m.nextWrite()
	case stateAccepting:
		return m.updateHead()
	case stateConfirming:
		return Action{Kind: ActionGet, Key: m.cursor}
	default:
		panic("accept: Next after the end")
	}
}

// readPart returns the call that reads a part.
func readPart(hash string) Action { return Action{Kind: ActionGet, Key: config.PartKey(hash)} }

// writePart returns the call that creates a part.
func writePart(part config.Part) Action {
	return Action{Kind: ActionCreate, Key: config.PartKey(part.Hash), Value: part.Encode()}
}

// Concurrent returns the calls of the present step that may be carried out
// concurrently, including the one that Next returns. The caller passes their replies to
// Handle in the order in which Next returns the calls. Concurrent returns only calls on
// parts, which are immutable, so the order of execution doesn't matter.
func (m *Machine) Concurrent() []Action {
	var actions []Action
	switch m.state.State() {
	case stateChecking:
		for _, hash := range m.missingParts() {
			actions = append(actions, readPart(hash))
		}
	case stateWriting:
		if !m.copyWritten || m.touching {
			return nil
		}
		for _, part := range m.pendingParts {
			actions = append(actions, writePart(part))
		}
	}
	return actions
}

// nextWrite returns the call that writes the copy of the head or the next part.
func (m *Machine) nextWrite() Action {
	switch {
	case !m.copyWritten:
		return Action{Kind: ActionCreate, Key: m.nextHead.Key(), Value: m.nextHead.Copy().Encode()}
	case !m.touching:
		return writePart(m.pendingParts[0])
	case m.foundVersion == 0:
		return readPart(m.pendingParts[0].Hash)
	}
	touch := writePart(m.pendingParts[0])
	touch.Kind, touch.Version = ActionUpdate, m.foundVersion
	return touch
}

// updateHead returns the conditional write that accepts the change.
func (m *Machine) updateHead() Action {
	if m.headVersion == 0 {
		return Action{Kind: ActionCreate, Key: config.HeadKey, Value: m.nextHead.Encode()}
	}
	return Action{Kind: ActionUpdate, Key: config.HeadKey, Value: m.nextHead.Encode(), Version: m.headVersion}
}

package accept

import "acaciawinch/core/config"

// action returns the call that the present state makes.
func (m *Machine) action() Action {
	switch m.state.State() {
	case stateReading:
		return Action{Kind: ActionGet, Key: config.HeadKey}
	case stateChecking:
		return readPart(m.missing()[0])
	case stateWriting:
		return m.writeNext()
	case stateAccepting:
		return m.moveHead()
	case stateConfirming:
		return Action{Kind: ActionGet, Key: m.cursor}
	default:
		panic("accept: Next after the end")
	}
}

// readPart returns the read of a part.
func readPart(hash string) Action { return Action{Kind: ActionGet, Key: config.PartKey(hash)} }

// writePart returns the write of a part.
func writePart(part config.Part) Action {
	return Action{Kind: ActionCreate, Key: config.PartKey(part.Hash), Value: part.Encode()}
}

// Ahead returns the calls of the present step that may be carried out together,
// Next's among them. Their replies are handed to Handle as Next asks for them.
// Only calls on parts are returned: these never change, so the order is free.
func (m *Machine) Ahead() []Action {
	var actions []Action
	switch m.state.State() {
	case stateChecking:
		for _, hash := range m.missing() {
			actions = append(actions, readPart(hash))
		}
	case stateWriting:
		if !m.copied || m.touching {
			return nil
		}
		for _, part := range m.parts {
			actions = append(actions, writePart(part))
		}
	}
	return actions
}

// writeNext returns the write of the copy of the head, or of the next part.
func (m *Machine) writeNext() Action {
	switch {
	case !m.copied:
		return Action{Kind: ActionCreate, Key: m.next.Key(), Value: m.next.Copy().Encode()}
	case !m.touching:
		return writePart(m.parts[0])
	case m.found == 0:
		return readPart(m.parts[0].Hash)
	}
	touch := writePart(m.parts[0])
	touch.Kind, touch.Version = ActionUpdate, m.found
	return touch
}

// moveHead returns the conditional write that accepts the change.
func (m *Machine) moveHead() Action {
	if m.version == 0 {
		return Action{Kind: ActionCreate, Key: config.HeadKey, Value: m.next.Encode()}
	}
	return Action{Kind: ActionUpdate, Key: config.HeadKey, Value: m.next.Encode(), Version: m.version}
}

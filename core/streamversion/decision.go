package streamversion

// Evidence is what is known of a stream that a client takes up.
type Evidence struct {
	// Record is the record that was found; nil if there is none.
	Record *Record
	// RegisterKnown is set if the register was read after the client came, with Register as the content found,
	// or is known to be mixed.
	RegisterKnown bool
	Register      Register
	// Silent counts the gateways that may hold a record and did not respond.
	Silent int
	// Changing is set while gateways may still copy records, as the register has just become mixed.
	Changing bool
}

// Outcome says what becomes of a stream that a client takes up.
type Outcome int

const (
	// GoesOn means that the stream goes on at the version of the Decision.
	GoesOn Outcome = iota
	// NotNow means that the version is not known now and may be later.
	NotNow
	// Never means that the version can't be known.
	Never
)

// Decision is the outcome for a stream, the version at which it goes on and the reason.
type Decision struct {
	Outcome Outcome
	Version string
	// Reason says how the version is known, or why it is not.
	Reason string
}

// Decide decides on a stream that a client takes up.
func Decide(e Evidence) Decision {
	switch {
	case e.Record != nil && e.Record.Conflict:
		return Decision{Outcome: Never, Reason: "the attempt began two streams"}
	case e.Record != nil:
		return Decision{Version: e.Record.Version, Reason: "record"}
	case e.RegisterKnown && e.Register.Settled:
		return Decision{Version: e.Register.Version, Reason: "one version"}
	case !e.RegisterKnown:
		return Decision{Outcome: NotNow, Reason: "the store did not say whether several versions serve"}
	case e.Silent > 0:
		return Decision{Outcome: NotNow, Reason: "gateways that may know the version did not respond"}
	case e.Changing:
		return Decision{Outcome: NotNow, Reason: "another version has just come"}
	default:
		return Decision{Outcome: Never, Reason: "no gateway knows the version at which the stream began"}
	}
}

package quarantine

import (
	"context"
	"slices"

	"acaciawinch/core/fault"
	"acaciawinch/core/fingerprint"
	core "acaciawinch/core/quarantine"
	"acaciawinch/core/replica"
	"acaciawinch/platform/store"
)

// operatorRecord is the name of the record in which an operator clears suspects. Gateways merge it like one of theirs.
const operatorRecord = "operator"

// Operator lists the suspects that the gateways refuse, and clears them. It reads and writes the store only.
type Operator struct {
	Store *store.Client
}

// List returns the cases of what is refused, as a gateway that has just read all records would refuse it.
func (o Operator) List(ctx context.Context) ([]core.Case, error) {
	state, _, err := o.load(ctx)
	if err != nil {
		return nil, err
	}
	return state.Refused(), nil
}

// Clear clears a suspect of the crashes that the gateways have reported, and returns their number. It fails with
// fault.NotFound if there are none. The gateways read that like a record of one of them.
func (o Operator) Clear(ctx context.Context, suspect fingerprint.Fingerprint) (int, error) {
	state, revision, err := o.load(ctx)
	if err != nil {
		return 0, err
	}
	crashes := state.CrashesOf(suspect)
	if len(crashes) == 0 {
		return 0, fault.New(fault.NotFound, "quarantine.clear", "", "nothing has crashed under %s", suspect)
	}
	state.ClearSuspect(suspect, 0)
	spec := specOf(state.TakeOwnRecord())
	if revision == 0 {
		_, err = o.Store.Create(ctx, RecordKind, operatorRecord, spec)
	} else {
		_, err = o.Store.Replace(ctx, RecordKind, operatorRecord, revision, spec)
	}
	return len(crashes), err
}

// load reads all records, and the revision of the operator's own one, 0 if there is none. Records that can't be read are an
// error: what they hold would be missing.
func (o Operator) load(ctx context.Context) (*core.State, int64, error) {
	listed, err := o.Store.List(ctx, RecordKind)
	if err != nil {
		return nil, 0, err
	}
	records := make(map[string]core.Record, len(listed.Objects))
	for _, object := range listed.Objects {
		record, err := recordOf(object)
		if err != nil {
			return nil, 0, err
		}
		records[object.Name] = record
	}
	state := core.New(operatorRecord)
	state.Reset(records, 0)
	own := slices.IndexFunc(listed.Objects, func(object replica.Object) bool { return object.Name == operatorRecord })
	if own < 0 {
		return state, 0, nil
	}
	return state, listed.Objects[own].Revision, nil
}

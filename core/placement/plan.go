// Package placement decides which engine holds which model version. A proposer, which is
// an entry that plans, derives the next plan from the models loaded on the engines, the
// current plan and the configured models. A lease selects the proposer, but only to avoid
// duplicate work. The plan is one object that is written by conditional updates, and the
// version of that object is the fencing token of the orders to load and unload models
// that follow from the plan.
package placement

import (
	"cmp"
	"slices"

	"acaciawinch/core"
)

// PlanKey and LeaseKey are the keys of the plan object and the lease object.
const (
	PlanKey  = "placement/plan"
	LeaseKey = "lease/placement"
)

// Assignment assigns a model version to the engine of an upstream.
type Assignment struct {
	Upstream core.UpstreamID `json:"upstream"`
	Model    string          `json:"model"`
	Version  string          `json:"version"`
}

// Plan is the desired placement. It is stored as one object; the version of the object
// is the fencing token of the orders that follow from the plan.
type Plan struct {
	// Sequence increases with each plan. It is informational; fencing uses the version
	// of the object.
	Sequence    uint64        `json:"sequence"`
	Revision    core.Revision `json:"revision"`
	Proposer    string        `json:"proposer"`
	Assignments []Assignment  `json:"assignments"`
}

// ModelVersion identifies one version of a model.
type ModelVersion struct {
	Model   string
	Version string
}

// String returns "model@version".
func (m ModelVersion) String() string { return m.Model + "@" + m.Version }

// Assigned returns the model version assigned to the engine.
func (a Assignment) Assigned() ModelVersion { return ModelVersion{Model: a.Model, Version: a.Version} }

// compareAssignments orders assignments by model, version and upstream.
func compareAssignments(a, b Assignment) int {
	return cmp.Or(
		cmp.Compare(a.Model, b.Model),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Upstream, b.Upstream),
	)
}

// sameAssignments reports whether a and b have the same assignments, in any order.
func sameAssignments(a, b []Assignment) bool {
	a = slices.SortedFunc(slices.Values(a), compareAssignments)
	b = slices.SortedFunc(slices.Values(b), compareAssignments)
	return slices.Equal(a, b)
}

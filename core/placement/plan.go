// Package placement decides which engine holds which model version. A proposer
// works out the next plan from what the engines hold, the plan in force and what
// the operators want; a lease decides who does so, only to save effort. The plan
// is one object under conditional update, and the version of that object is the
// fencing number of the orders that follow from it.
package placement

import (
	"cmp"
	"slices"

	"acaciawinch/core"
)

// PlanKey and LeaseKey name the objects of the plan and the lease.
const (
	PlanKey  = "placement/plan"
	LeaseKey = "lease/placement"
)

// Assignment tells one upstream's engine to hold a model version.
type Assignment struct {
	Upstream core.UpstreamID `json:"upstream"`
	Model    string          `json:"model"`
	Version  string          `json:"version"`
}

// Plan is the desired placement. It is kept as one object; the version of the
// object is the fencing number of the orders that follow from it.
type Plan struct {
	// Sequence rises with each plan and is for people; fencing uses the object's version.
	Sequence    uint64        `json:"sequence"`
	Revision    core.Revision `json:"revision"`
	Proposer    string        `json:"proposer"`
	Assignments []Assignment  `json:"assignments"`
}

// ModelVersion names one version of a model.
type ModelVersion struct {
	Model   string
	Version string
}

// String returns "model@version".
func (m ModelVersion) String() string { return m.Model + "@" + m.Version }

// Holds returns what the assignment tells the engine to hold.
func (a Assignment) Holds() ModelVersion { return ModelVersion{Model: a.Model, Version: a.Version} }

// compareAssignments orders assignments by model, version and upstream.
func compareAssignments(a, b Assignment) int {
	return cmp.Or(
		cmp.Compare(a.Model, b.Model),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Upstream, b.Upstream),
	)
}

// sameAssignments tells whether two plans assign the same, in any order.
func sameAssignments(a, b []Assignment) bool {
	a = slices.SortedFunc(slices.Values(a), compareAssignments)
	b = slices.SortedFunc(slices.Values(b), compareAssignments)
	return slices.Equal(a, b)
}

// Package placement decides which engine holds which model version.
package placement

import "acaciawinch/core"

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

// Package place proposes the placement of models on engines. Every entry runs a Proposer;
// the one that holds the lease object probes the engines and writes the plan. Plans are
// written under the condition of the plan object's version, so that also with two
// holders only one plan takes effect. The decisions are made by package core/placement.
package place

// Package place proposes the placement of models on engines, the upstreams that load
// models. Every entry runs a Proposer, which works in rounds. The holder, the entry that
// holds the lease object, probes sidecars of engines in each round and writes the plan,
// which assigns models to engines. Plans are written under the condition of the plan
// object's version, so that also with two holders only one plan takes effect. The
// decisions are made by package core/placement.
package place

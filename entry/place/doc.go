// Package place lets an entry propose the placement of models. Every entry runs
// it; a lease object decides which one does the work, and the version of the plan
// object decides what takes effect. The decisions are core/placement's.
package place

// Package scenario defines the scenarios of the bench: the deployments of the two
// users with the load of their workspaces, the cases of load and faults, and the
// policies that are compared. It starts no processes.
package scenario

import (
	"path/filepath"
	"time"

	"acaciawinch/standin/catalog"
	"acaciawinch/standin/deployment"
	"acaciawinch/standin/load"
)

// Times and batch size of the stand-in engines under the bench. They are those of
// a small-scale model of real engines: a step of a full batch takes 27 ms. The
// processors of one machine can then carry all traffic with room to spare.
const (
	tokenMS        = 16
	firstMS        = 80
	batchSlope     = 0.1
	engineCapacity = 8
	// cachedPrefill is the fraction of firstMS that a prompt takes whose prefix is
	// cached. The bench uses few prefixes, so all are cached after the first passes.
	cachedPrefill = 0.25
)

// requestDeadline is the deadline of every request of the bench.
const requestDeadline = 3 * time.Second

// Share is the share of the load that one workspace sends to one pipeline.
type Share struct {
	Workspace string
	Pipeline  string
	// Part is the fraction of all requests; the parts of a size add up to 1.
	Part float64
	// Keyed is set if the requests carry an idempotency key.
	Keyed bool
	// Stream is set if the requests ask for server-sent events.
	Stream bool
}

// Size is the deployment of one user with its load.
type Size struct {
	Name       string
	Deployment deployment.Deployment
	// Large is the workspace whose load rises in a burst.
	Large string
	// Engine is the name of the engines' service.
	Engine string
	Shares []Share
}

// Sizes returns the sizes of both users.
func Sizes() []Size { return []Size{institute(), cascadeGrind()} }

// institute is the Institute's size: 26 upstreams and the stage pools.
func institute() Size {
	return Size{
		Name:       "institute",
		Deployment: withBenchTimes(deployment.Institute()),
		Large:      "pensionistas",
		Engine:     "asistente-llm",
		Shares: []Share{
			{Workspace: "pensionistas", Pipeline: "consulta", Part: 0.15, Stream: true},
			{Workspace: "pensionistas", Pipeline: "vencimiento", Part: 0.10, Stream: true},
			{Workspace: "pensionistas", Pipeline: "redencion", Part: 0.10, Keyed: true, Stream: true},
			{Workspace: "ahorristas", Pipeline: "consulta", Part: 0.10, Stream: true},
			{Workspace: "ahorristas", Pipeline: "vencimiento", Part: 0.09, Stream: true},
			{Workspace: "ahorristas", Pipeline: "redencion", Part: 0.07, Keyed: true, Stream: true},
			{Workspace: "sucursales", Pipeline: "consulta", Part: 0.05, Stream: true},
			{Workspace: "sucursales", Pipeline: "sucursal", Part: 0.15, Stream: true},
			{Workspace: "sucursales", Pipeline: "redencion", Part: 0.06, Keyed: true, Stream: true},
			{Workspace: "asesores", Pipeline: "consulta", Part: 0.04, Stream: true},
			{Workspace: "asesores", Pipeline: "aviso", Part: 0.05, Keyed: true},
			{Workspace: "avisos", Pipeline: "aviso", Part: 0.02, Keyed: true},
			{Workspace: "avisos", Pipeline: "vencimiento", Part: 0.02},
		},
	}
}

// cascadeGrind is Cascade Grind's size: 30 upstreams and the stage pools.
func cascadeGrind() Size {
	return Size{
		Name:       "cascade-grind",
		Deployment: withBenchTimes(deployment.CascadeGrind()),
		Large:      "chefs",
		Engine:     "blendmodel",
		Shares: []Share{
			{Workspace: "chefs", Pipeline: "recipe", Part: 0.25, Stream: true},
			{Workspace: "chefs", Pipeline: "allergens", Part: 0.15, Stream: true},
			{Workspace: "coop-buyers", Pipeline: "recipe", Part: 0.10, Stream: true},
			{Workspace: "coop-buyers", Pipeline: "order", Part: 0.12, Keyed: true, Stream: true},
			{Workspace: "coop-buyers", Pipeline: "shipment", Part: 0.06, Keyed: true},
			{Workspace: "shop-floor", Pipeline: "status", Part: 0.12, Stream: true},
			{Workspace: "shop-floor", Pipeline: "shipment", Part: 0.04, Keyed: true},
			{Workspace: "sourcing", Pipeline: "allergens", Part: 0.06, Stream: true},
			{Workspace: "sourcing", Pipeline: "status", Part: 0.05, Stream: true},
			{Workspace: "labs", Pipeline: "recipe", Part: 0.05, Stream: true},
		},
	}
}

// withBenchTimes sets the bench's times and batch size on the engines of a
// deployment and returns it.
func withBenchTimes(d deployment.Deployment) deployment.Deployment {
	for i := range d.Groups {
		group := &d.Groups[i]
		if len(group.Models) == 0 {
			continue
		}
		group.Capacity = engineCapacity
		group.TokenMS = tokenMS
		group.FirstMS = firstMS
		group.BatchSlope = batchSlope
	}
	return d
}

// Files returns the paths of the size's operator configuration files in the
// directory of the examples.
func (s Size) Files(examples string) []string {
	return []string{
		filepath.Join(examples, s.Name, "pipelines.toml"),
		filepath.Join(examples, s.Name, "workspaces.toml"),
	}
}

// Capacity returns the requests per second at which the engines' batches are
// full. The engines are by far the bottleneck: a pass occupies one slot of the
// batch for the prefill and for each step of a full batch.
func (s Size) Capacity(c catalog.Catalog) float64 {
	slots := 0.0
	for _, group := range s.Deployment.Groups {
		if group.Service == s.Engine {
			slots = float64(group.Workers * group.Capacity)
		}
	}
	step := tokenMS * (1 + batchSlope*(engineCapacity-1))
	seconds := 0.0
	for _, share := range s.Shares {
		pass := cachedPrefill*firstMS + float64(s.tokens(c, share))*step
		seconds += share.Part * pass / 1000
	}
	return slots / seconds
}

// tokens returns the number of tokens that one request of a share generates.
func (s Size) tokens(c catalog.Catalog, share Share) int {
	template, _ := c.Template(share.Pipeline)
	workspace, _ := c.Workspace(share.Workspace)
	total := 0
	for _, stage := range template.Stages {
		if stage.Service != s.Engine {
			continue
		}
		tokens := stage.MaxTokens
		for _, override := range workspace.Stages {
			if override.Pipeline == share.Pipeline && override.Stage == stage.Name && override.MaxTokens > 0 {
				tokens = override.MaxTokens
			}
		}
		total += tokens
	}
	return total
}

// Flows returns the load of a case for a capacity in requests per second.
func (s Size) Flows(c Case, capacity float64) []load.Flow {
	var flows []load.Flow
	for _, share := range s.Shares {
		flow := load.Flow{
			Workspace: share.Workspace,
			Pipeline:  share.Pipeline,
			Rate:      share.Part * c.Load * capacity,
			Keyed:     share.Keyed,
			Stream:    share.Stream,
			Deadline:  requestDeadline,
		}
		if c.Burst > 0 && share.Workspace == s.Large {
			flow.Bursts = []load.Burst{{From: c.At, To: c.Duration, Factor: c.Burst}}
		}
		flows = append(flows, flow)
	}
	return flows
}

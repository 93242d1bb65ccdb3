package gate

import (
	"slices"
	"time"
)

// modelName returns the name of a model version in reports, empty without a model.
func modelName(model, version string) string {
	if model == "" {
		return ""
	}
	return model + "@" + version
}

// BeginUnload notes that an order is about to take a model from the engine: no
// new work for it is admitted from now on, whatever the lagging report says.
func (g *Gate) BeginUnload(now time.Duration, model string) {
	g.CancelUnload(model)
	u := &g.upstream
	u.unloads = append(u.unloads, unload{model: model, until: now + g.options.ModelLag})
}

// CancelUnload takes BeginUnload back, because the model is wanted again.
func (g *Gate) CancelUnload(model string) {
	u := &g.upstream
	u.unloads = slices.DeleteFunc(u.unloads, func(e unload) bool { return e.model == model })
}

// Using returns how many attempts wait or run with a model.
func (g *Gate) Using(model string) int {
	count := 0
	for _, list := range [][]*record{g.queue.all(), g.running} {
		for _, r := range list {
			if r.model == model {
				count++
			}
		}
	}
	return count
}

// Models returns what the engine holds: what it reports, without what orders are
// taking away. A model that is being loaded counts once the report shows it.
func (g *Gate) Models(now time.Duration) []string {
	u := &g.upstream
	u.unloads = slices.DeleteFunc(u.unloads, func(e unload) bool { return e.until <= now })
	models := slices.Clone(u.models)
	for _, e := range u.unloads {
		models = slices.DeleteFunc(models, func(m string) bool { return m == e.model })
	}
	return models
}

// holds tells whether the engine holds a model version, as far as is known.
func (g *Gate) holds(now time.Duration, model, version string) bool {
	if model == "" || !g.upstream.known {
		return true
	}
	return slices.Contains(g.Models(now), modelName(model, version))
}

// Reported returns what the engine reports that it holds.
func (g *Gate) Reported() []string { return slices.Clone(g.upstream.models) }

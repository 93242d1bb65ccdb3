package gate

import (
	"slices"
	"time"
)

// modelName returns the reported name of a model version, or "" without a model.
func modelName(model, version string) string {
	if model == "" {
		return ""
	}
	return model + "@" + version
}

// BeginUnload records that an order to unload a model is about to be given. No new
// work for the model is admitted from now on, even while the upstream's delayed
// report still lists it.
func (g *Gate) BeginUnload(now time.Duration, model string) {
	g.CancelUnload(model)
	u := &g.upstream
	u.pendingUnloads = append(u.pendingUnloads, pendingUnload{model: model, until: now + g.options.ModelReportLag})
}

// CancelUnload reverts BeginUnload, because the model is needed again.
func (g *Gate) CancelUnload(model string) {
	u := &g.upstream
	u.pendingUnloads = slices.DeleteFunc(u.pendingUnloads, func(e pendingUnload) bool { return e.model == model })
}

// CountUsing returns how many waiting or running attempts use a model.
func (g *Gate) CountUsing(model string) int {
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

// Models returns the models that the engine reports, without those being unloaded. A
// model that is being loaded is listed once the report shows it.
func (g *Gate) Models(now time.Duration) []string {
	u := &g.upstream
	u.pendingUnloads = slices.DeleteFunc(u.pendingUnloads, func(e pendingUnload) bool { return e.until <= now })
	models := slices.Clone(u.models)
	for _, e := range u.pendingUnloads {
		models = slices.DeleteFunc(models, func(m string) bool { return m == e.model })
	}
	return models
}

// modelLoaded reports whether a model version is loaded. It is assumed to be loaded
// until the upstream has reported.
func (g *Gate) modelLoaded(now time.Duration, model, version string) bool {
	if model == "" || !g.upstream.reported {
		return true
	}
	return slices.Contains(g.Models(now), modelName(model, version))
}

// ReportedModels returns the models that the engine reports, including those being
// unloaded.
func (g *Gate) ReportedModels() []string { return slices.Clone(g.upstream.models) }

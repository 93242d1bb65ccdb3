package report

import (
	"fmt"
	"slices"

	"acaciawinch/standin/load"
)

// group holds the trials of one case of one size, one for each policy.
type group struct {
	size, name, title string
	trials            []Trial
}

// groups returns the trials by size and case, in the order in which they ran.
func (r Run) groups() []group {
	var all []group
	for _, t := range r.Trials {
		i := slices.IndexFunc(all, func(g group) bool { return g.size == t.Size && g.name == t.Case })
		if i < 0 {
			all = append(all, group{size: t.Size, name: t.Case, title: t.Title})
			i = len(all) - 1
		}
		all[i].trials = append(all[i].trials, t)
	}
	return all
}

// find returns the trial of a size, case and policy.
func (r Run) find(size, name, policy string) (Trial, bool) {
	for _, t := range r.Trials {
		if t.Size == size && t.Case == name && t.Policy == policy {
			return t, true
		}
	}
	return Trial{}, false
}

// Tables returns all tables of the run: targets first, then each case.
func (r Run) Tables() []Table {
	tables := []Table{r.TargetTable()}
	for _, g := range r.groups() {
		tables = append(tables, g.tables()...)
	}
	return tables
}

// tables returns the tables of one case.
func (g group) tables() []Table {
	return []Table{g.outcomes(), g.latencies(), g.workspaces(), g.cost(), g.nodes()}
}

// heading returns the title of a table of the case.
func (g group) heading(subject string) string {
	return fmt.Sprintf("%s, %s: %s", g.size, g.title, subject)
}

// outcomes returns the table of the results that callers got.
func (g group) outcomes() Table {
	t := Table{
		Title: g.heading(fmt.Sprintf("requests due from second %.0f on", g.trials[0].JudgedFrom)),
		Header: []string{"policy", "offered/s", "sent", "attained", "all but the large workspace", "in time/s",
			"refused", "failed", "unknown", "no or broken answer", "late", "violations"},
	}
	for _, trial := range g.trials {
		j := trial.Judged
		t.Rows = append(t.Rows, []string{
			trial.Policy, decimal(trial.Offered), count(j.Sent), percent(j.Attainment),
			percent(trial.Others.Attainment), decimal(trial.Goodput), count(j.NotRun), count(j.Failed),
			count(j.Unknown), count(j.Other), count(j.Answered - j.Attained), count(trial.Violations),
		})
	}
	return t
}

// latencies returns the table of the times that callers waited.
func (g group) latencies() Table {
	t := Table{
		Title: g.heading("times in ms"),
		Header: []string{"policy", "first token p50", "p95", "p99", "between tokens p50", "p95", "p99",
			"whole answer p50", "p95", "p99", "refusal p50", "p99", "max", "sent late p99"},
	}
	for _, trial := range g.trials {
		j := trial.Judged
		row := []string{trial.Policy}
		for _, q := range []load.Quantiles{j.First, j.Gap, j.Latency} {
			row = append(row, ms(q.P50), ms(q.P95), ms(q.P99))
		}
		row = append(row, ms(j.Refusal.P50), ms(j.Refusal.P99), ms(j.Refusal.Max), ms(j.Late.P99))
		t.Rows = append(t.Rows, row)
	}
	return t
}

// workspaces returns the table of the attainment of each workspace.
func (g group) workspaces() Table {
	var names []string
	for _, trial := range g.trials {
		for name := range trial.Workspaces {
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	t := Table{Title: g.heading("attainment by workspace"), Header: append([]string{"policy"}, names...)}
	for _, trial := range g.trials {
		row := []string{trial.Policy}
		for _, name := range names {
			w := trial.Workspaces[name]
			row = append(row, fmt.Sprintf("%s of %d", percent(w.Attainment), w.Sent))
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}

// cost returns the table of the passes and their cost by service.
func (g group) cost() Table {
	t := Table{
		Title: g.heading("cost by stage, over the whole trial"),
		Header: []string{"policy", "service", "passes", "per answered", "extra", "wasted", "hedge lost", "replaced",
			"late", "unwanted", "orphan", "cost wasted"},
	}
	for _, trial := range g.trials {
		for _, s := range trial.Stages {
			w := s.Wasted
			share := 0.0
			if s.Cost > 0 {
				share = float64(s.WastedCost) / float64(s.Cost)
			}
			t.Rows = append(t.Rows, []string{
				trial.Policy, s.Service, count(s.Passes), fmt.Sprintf("%.3f", s.PerAnswered), percent(s.Extra),
				count(w.Total()), count(w.Hedge), count(w.Replaced), count(w.Late), count(w.Unwanted),
				count(w.Orphan), percent(share),
			})
		}
	}
	return t
}

// nodes returns the table of the resource usage of the processes.
func (g group) nodes() Table {
	t := Table{
		Title: g.heading("spent by each process"),
		Header: []string{"policy", "runs", "machine idle", "trial cores", "entry core", "entry MB", "entry fleet B/s", "entry probe B/s",
			"side core", "side MB", "side fleet B/s"},
	}
	const megabyte = 1 << 20
	for _, trial := range g.trials {
		n := trial.Nodes
		t.Rows = append(t.Rows, []string{
			trial.Policy, count(trial.Runs), percent(n.IdleShare), decimal(n.TrialCores), percent(n.Entry.CoreShare), decimal(n.Entry.ResidentBytes / megabyte),
			ms(n.Entry.FleetBytes), ms(n.Entry.ProbeBytes), percent(n.Side.CoreShare),
			decimal(n.Side.ResidentBytes / megabyte), ms(n.Side.FleetBytes),
		})
	}
	return t
}

package deployment

import "acaciawinch/core/config"

// Times of the stand-in upstreams, in milliseconds. They are short so that a trial
// on one machine takes only seconds.
const (
	poolMS    = 4
	serviceMS = 6
	tokenMS   = 4
	firstMS   = 20
)

// Capacities of the stand-in upstreams, and the batch slope of the engines.
const (
	engineCapacity  = 8
	poolCapacity    = 4
	serviceCapacity = 4
	batchSlope      = 0.1
)

// poolWorkers is the number of workers of each stage pool: one in each zone.
const poolWorkers = 3

// entriesPerUser is the number of entries that each user runs today.
const entriesPerUser = 3

// Institute is the deployment of the Instituto Ecuatoriano de Bonos de Ahorro Publico.
func Institute() Deployment {
	return Deployment{
		Name:    "institute",
		Region:  "sierra-norte",
		Zones:   []string{"sala-inaquito", "sala-carcelen", "sala-cumbaya"},
		Entries: entriesPerUser,
		Groups: append(pools(poolWorkers),
			engines("asistente-llm", 9, "asistente@3.2", "redactor@1.4"),
			service("atencion-sucur", 3),
			service("libro-bonos", 4),
			service("tesoreria", 5),
			service("avisos-ahorro", 5),
		),
	}
}

// CascadeGrind is the deployment of Cascade Grind Labs.
func CascadeGrind() Deployment {
	return Deployment{
		Name:    "cascade-grind",
		Region:  "pnw-west",
		Zones:   []string{"hall-a", "hall-b", "annex"},
		Entries: entriesPerUser,
		Groups: append(pools(poolWorkers),
			engines("blendmodel", 12, "blend@2.1", "allergen@1.0"),
			service("orderdesk", 3),
			service("lotledger", 5),
			service("shipyard", 5),
			service("tastenotes", 5),
		),
	}
}

// Minimal is the smallest deployment that can serve the Institute's pipeline
// "consulta": one entry and one upstream for each stage.
func Minimal() Deployment {
	return Deployment{
		Name:    "thin",
		Region:  "sierra-norte",
		Zones:   []string{"sala-inaquito"},
		Entries: 1,
		Groups:  append(pools(1), engines("asistente-llm", 1, "asistente@3.2")),
	}
}

// pools returns the groups of the stage pools, each with the given number of workers.
func pools(workers int) []Group {
	groups := []Group{}
	for _, service := range []string{"encoders", "retrievers", "rerankers"} {
		groups = append(groups, Group{
			Service:   service,
			Kind:      config.KindPool,
			Workers:   workers,
			Capacity:  poolCapacity,
			ServiceMS: poolMS,
		})
	}
	return groups
}

// engines returns the group of workers of a model engine service.
func engines(service string, workers int, models ...string) Group {
	return Group{
		Service:    service,
		Kind:       config.KindEngine,
		Workers:    workers,
		Capacity:   engineCapacity,
		TokenMS:    tokenMS,
		FirstMS:    firstMS,
		BatchSlope: batchSlope,
		Models:     models,
	}
}

// service returns the group of workers of a plain service.
func service(name string, workers int) Group {
	return Group{
		Service:   name,
		Kind:      config.KindService,
		Workers:   workers,
		Capacity:  serviceCapacity,
		ServiceMS: serviceMS,
	}
}

package faults

import (
	"acaciawinch/core/config"
	"acaciawinch/standin/deployment"
)

// deploymentOf returns a deployment with two of everything that a request needs, one in
// each zone unless the options say otherwise.
func deploymentOf(o siteOptions) deployment.Deployment {
	d := matrixDeployment()
	if o.Regions {
		d.Regions = []string{d.Region, "costa-sur"}
	}
	for i := range d.Groups {
		d.Groups[i].IgnoreFencing = o.IgnoreFencing
		if o.OneZone {
			d.Groups[i].Workers = 1
		}
	}
	return d
}

// matrixDeployment returns the deployment of most cells.
func matrixDeployment() deployment.Deployment {
	return deployment.Deployment{
		Name:    "faults",
		Region:  "sierra-norte",
		Zones:   []string{"sala-inaquito", "sala-carcelen"},
		Entries: 2,
		Groups: []deployment.Group{
			{Service: services[stageEncode], Kind: config.KindPool, Workers: 2, Capacity: 4, ServiceMS: 4},
			{Service: services[stagePay], Kind: config.KindService, Workers: 2, Capacity: 4, ServiceMS: 4},
			{
				Service:    services[stageConfirm],
				Kind:       config.KindEngine,
				Workers:    2,
				Capacity:   8,
				TokenMS:    10,
				FirstMS:    20,
				BatchSlope: 0.1,
				Models:     []string{"asistente@3.2"},
			},
		},
	}
}

package main

import (
	"context"
	"strings"
	"time"

	"acaciawinch/standin/engine"
	"acaciawinch/standin/ledger"
	"acaciawinch/standin/pool"
	"acaciawinch/standin/upstream"
)

// upstreamCommand runs one upstream.
type upstreamCommand struct {
	Listen     string        `long:"listen" required:"true" description:"IP:port"`
	Name       string        `long:"name" required:"true" description:"the upstream's name in the host list"`
	Service    string        `long:"service" required:"true" description:"the upstream's service"`
	Kind       string        `long:"kind" choice:"engine" choice:"pool" choice:"service" required:"true"`
	Capacity   int           `long:"capacity" default:"4" description:"calls at once; an engine's largest batch"`
	ServiceMS  float64       `long:"service-ms" default:"5" description:"time of one call of a pool or service"`
	TokenMS    float64       `long:"token-ms" default:"2" description:"an engine's time of one step of a batch of one"`
	FirstMS    float64       `long:"first-ms" default:"20" description:"an engine's time of one uncached prompt"`
	BatchSlope float64       `long:"batch-slope" default:"0.1" description:"part of token-ms that each further batch member adds"`
	Spread     float64       `long:"spread" default:"0" description:"part of service-ms and first-ms that varies from call to call, 0 to 1"`
	Fencing    string        `long:"fencing" choice:"honour" choice:"ignore" default:"honour"`
	Models     string        `long:"models" description:"loaded from the start: model@version,…"`
	LoadMS     float64       `long:"load-ms" default:"100" description:"time of loading one model version"`
	CacheSize  int           `long:"cache-entries" default:"32" description:"bound of an engine's prefix cache"`
	CacheLag   time.Duration `long:"cache-lag" default:"500ms" description:"how late cache events are"`
	Ledger     string        `long:"ledger" description:"file that records are appended to"`
	ReportLag  time.Duration `long:"report-lag" default:"200ms" description:"how late the load report is"`
}

// Execute implements flags.Commander.
func (c *upstreamCommand) Execute([]string) error {
	records, err := ledger.Open(c.Ledger, c.Name, c.Service)
	if err != nil {
		return err
	}
	defer records.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	conditions := upstream.NewConditions()
	server := upstream.NewServer(upstream.Options{
		Worker:     c.worker(ctx, conditions),
		Conditions: conditions,
		Ledger:     records,
		ReportLag:  c.ReportLag,
	})
	return serve(c.Listen, server, server.RejectNewCalls)
}

// worker returns the worker of the upstream's kind.
func (c *upstreamCommand) worker(ctx context.Context, conditions *upstream.Conditions) upstream.Worker {
	if c.Kind != "engine" {
		return pool.New(pool.Options{
			Service:    c.Service,
			Capacity:   c.Capacity,
			Duration:   milliseconds(c.ServiceMS),
			Spread:     upstream.NewSpread(c.Spread, c.Name),
			Conditions: conditions,
		})
	}
	return engine.New(ctx, engine.Options{
		Capacity:       c.Capacity,
		TokenTime:      milliseconds(c.TokenMS),
		PrefillTime:    milliseconds(c.FirstMS),
		BatchSlope:     c.BatchSlope,
		EnforceFencing: c.Fencing == "honour",
		Models:         strings.FieldsFunc(c.Models, func(r rune) bool { return r == ',' }),
		LoadTime:       milliseconds(c.LoadMS),
		CacheEntries:   c.CacheSize,
		CacheLag:       c.CacheLag,
		Spread:         upstream.NewSpread(c.Spread, c.Name),
		Conditions:     conditions,
	})
}

// milliseconds converts the value of a flag to a duration.
func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

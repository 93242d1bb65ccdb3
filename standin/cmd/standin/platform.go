package main

import (
	"encoding/json"
	"os"
	"time"

	"acaciawinch/core/fleet"
	"acaciawinch/standin/hostlist"
	"acaciawinch/standin/objectstore"
)

// objectsCommand runs the object API.
type objectsCommand struct {
	Listen string `long:"listen" required:"true" description:"IP:port"`
	Reads  int    `long:"reads-per-second" default:"0" description:"bound of reads and watches; 0 is none"`
	Writes int    `long:"writes-per-second" default:"0" description:"bound of writes; 0 is none"`
}

// Execute implements flags.Commander.
func (c *objectsCommand) Execute([]string) error {
	server := objectstore.NewServer(objectstore.Limits{ReadsPerSecond: c.Reads, WritesPerSecond: c.Writes})
	return serve(c.Listen, server, server.Stop)
}

// hostsCommand runs the host list.
type hostsCommand struct {
	Listen string        `long:"listen" required:"true" description:"IP:port"`
	File   string        `long:"file" required:"true" description:"JSON file with the first list"`
	Lag    time.Duration `long:"lag" default:"0s" description:"how late changes are seen"`
}

// Execute implements flags.Commander.
func (c *hostsCommand) Execute([]string) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var list fleet.List
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	return serve(c.Listen, hostlist.NewServer(list, c.Lag), func() {})
}

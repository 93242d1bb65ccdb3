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
	Views  string        `long:"views" description:"JSON file with the views of zones that reach hosts another way"`
	Lag    time.Duration `long:"lag" default:"0s" description:"how late changes are seen"`
}

// Execute implements flags.Commander.
func (c *hostsCommand) Execute([]string) error {
	var list fleet.List
	if err := readJSON(c.File, &list); err != nil {
		return err
	}
	var views []hostlist.View
	if c.Views != "" {
		if err := readJSON(c.Views, &views); err != nil {
			return err
		}
	}
	server := hostlist.NewServer(list, c.Lag)
	for _, view := range views {
		server.AddView(view)
	}
	return serve(c.Listen, server, func() {})
}

// readJSON reads a JSON file into value.
func readJSON(path string, value any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, value)
}

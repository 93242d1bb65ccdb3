package main

import (
	"context"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/config/accept"
	"acaciawinch/core/fault"
	"acaciawinch/feed/store"
	"acaciawinch/platform/objects"
)

// fileArguments are the declaration files on the command line.
type fileArguments struct {
	Files []string `positional-arg-name:"FILE" required:"1"`
}

// validateCommand checks declaration files without reading the store.
type validateCommand struct {
	env  *env
	Args fileArguments `positional-args:"yes" required:"yes"`
}

// validateOutput is the JSON output of validate.
type validateOutput struct {
	Templates  int `json:"templates"`
	Models     int `json:"models"`
	Workspaces int `json:"workspaces"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	declared, err := readFiles(c.Args.Files)
	if err != nil {
		return err
	}
	if err := declared.problemsError(config.ValidateDeclared(declared.shared(), declared.Workspaces)); err != nil {
		return err
	}
	return c.env.print(validateOutput{len(declared.Templates), len(declared.Models), len(declared.Workspaces)}, "valid")
}

// applyCommand puts the declarations of files into the configuration in force.
type applyCommand struct {
	env   *env
	Base  uint64        `long:"base" value-name:"REVISION" description:"revision that the files were made from; what others changed since is a conflict"`
	Prune bool          `long:"prune" description:"remove templates, models and workspaces that the files don't declare"`
	Note  string        `long:"note" description:"why the change is made, for the history"`
	Args  fileArguments `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	declared, err := readFiles(c.Args.Files)
	if err != nil {
		return err
	}
	if err := declared.problemsError(declared.change().ValidateUnique()); err != nil {
		return err
	}
	api, err := c.env.objects()
	if err != nil {
		return err
	}
	request := accept.Request{Note: c.Note, Change: declared.change()}
	if err := c.prepare(c.env.ctx, store.NewReader(api), &request); err != nil {
		return err
	}
	return c.env.acceptChange(api, request, declared.problemText)
}

// prepare sets the base revision of the request and, for --prune, adds the removals.
func (c *applyCommand) prepare(ctx context.Context, reader store.Reader, request *accept.Request) error {
	if c.Base == 0 && !c.Prune {
		return nil
	}
	base, err := headAt(ctx, reader, core.Revision(c.Base))
	if err != nil {
		return err
	}
	request.Base = &base
	if !c.Prune {
		return nil
	}
	snapshot, err := reader.Load(ctx, config.NewUnloaded(base, nil))
	if err != nil {
		return err
	}
	request.Change = snapshot.Prune(request.Change)
	return nil
}

// headAt returns the head of a revision; revision 0 is the one in force.
func headAt(ctx context.Context, reader store.Reader, revision core.Revision) (config.Head, error) {
	head, _, err := reader.Head(ctx)
	if err != nil || revision == 0 {
		return head, err
	}
	if revision < head.Oldest {
		return config.Head{}, fault.New(fault.NotFound, "config.history", "", "revision %d is no longer kept; the oldest is %d", revision, head.Oldest)
	}
	var found *config.Head
	err = reader.Walk(ctx, head, func(h config.Head) bool {
		if h.Revision == revision {
			found = &h
		}
		return h.Revision > revision
	})
	if err != nil {
		return config.Head{}, err
	}
	if found == nil {
		return config.Head{}, fault.New(fault.NotFound, "config.history", "", "there is no revision %d; the latest is %d", revision, head.Revision)
	}
	return *found, nil
}

// snapshotAt returns the full configuration of a revision; revision 0 is the one in
// force.
func snapshotAt(ctx context.Context, api objects.API, revision core.Revision) (*config.Snapshot, config.Head, error) {
	reader := store.NewReader(api)
	head, err := headAt(ctx, reader, revision)
	if err != nil {
		return nil, head, err
	}
	snapshot, err := reader.Load(ctx, config.NewUnloaded(head, config.Empty()))
	return snapshot, head, err
}

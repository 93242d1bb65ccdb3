package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"acaciawinch/entry"
	"acaciawinch/gateway"
	"acaciawinch/settings"
	"acaciawinch/side"
)

// settingsError is an error in the settings, found before anything was started.
type settingsError struct{ err error }

// Error implements error.
func (e settingsError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e settingsError) Unwrap() error { return e.err }

// sideCommand is `acaciawinchd side`, which runs the sidecar of one upstream.
type sideCommand struct {
	Config string `long:"config" required:"true" value-name:"FILE" description:"TOML settings of the side process"`
}

// Execute implements flags.Commander.
func (c *sideCommand) Execute([]string) error {
	loaded := side.Defaults()
	if err := settings.Load(c.Config, &loaded); err != nil {
		return settingsError{err}
	}
	ctx, stop := stopContext()
	defer stop()
	return side.Run(ctx, loaded)
}

// entryCommand is `acaciawinchd entry`, which runs an entry.
type entryCommand struct {
	Config string `long:"config" required:"true" value-name:"FILE" description:"TOML settings of the entry process"`
}

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	loaded := entry.Defaults()
	if err := settings.Load(c.Config, &loaded); err != nil {
		return settingsError{err}
	}
	ctx, stop := stopContext()
	defer stop()
	return entry.Run(ctx, loaded)
}

// gatewayCommand is `acaciawinchd gateway`, which runs a gateway.
type gatewayCommand struct {
	Config string `long:"config" env:"ACACIAWINCH_NODE_FILE" required:"true" value-name:"FILE" description:"TOML settings of the gateway process"`
}

// Execute implements flags.Commander.
func (c *gatewayCommand) Execute([]string) error {
	loaded, err := c.load()
	if err != nil {
		return settingsError{err}
	}
	ctx, stop := stopContext()
	defer stop()
	return gateway.Run(ctx, loaded, c.load, os.Stdout)
}

// load reads the settings file. gateway.Run calls it again to reload the settings.
func (c *gatewayCommand) load() (gateway.Settings, error) {
	loaded := gateway.Defaults()
	err := settings.Load(c.Config, &loaded)
	return loaded, err
}

// stopContext returns a context that is cancelled by SIGTERM or SIGINT. A second
// signal has its default effect and kills the process at once.
func stopContext() (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}

// addCommands adds one command per role to the parser.
func addCommands(parser *flags.Parser) {
	mustAdd(parser, "entry", "Run the entry process of an entry host", &entryCommand{})
	mustAdd(parser, "gateway", "Run the gateway process that serves clients on the users' platform", &gatewayCommand{})
	mustAdd(parser, "side", "Run the side process of one upstream", &sideCommand{})
}

// mustAdd adds one command. It panics only if a struct tag of the command is invalid, and
// then at every start of the program.
func mustAdd(parser *flags.Parser, name, description string, data any) {
	if _, err := parser.AddCommand(name, description, "", data); err != nil {
		panic(err)
	}
}

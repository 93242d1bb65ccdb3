package harness

import (
	"errors"
	"syscall"
)

// Link names the connections that Intercept can stand in.
type Link string

// OperatorsCommand is the name of the operators' command on its links.
const OperatorsCommand = "acaciawinch"

// The links.
const (
	// LinkSide: from entries to the drpc listener of a side, named by its upstream.
	LinkSide Link = "side"
	// LinkObjects: from the named entry or side process, or from the operators'
	// command, to the object API.
	LinkObjects Link = "objects"
)

// Intercept is asked for what stands before target, the IP:port that it may
// listen on being address. It returns the address to dial: target if nothing
// stands there.
type Intercept func(link Link, name, address, target string) (string, error)

// maxBinds is how many addresses are tried for what stands before a target. Other
// programs of the machine may take a port between its choice and its use.
const maxBinds = 3

// intercept returns the address to dial for target.
func (f *Fleet) intercept(link Link, name, target string) (string, error) {
	if f.Options.Intercept == nil {
		return target, nil
	}
	var taken error
	for range maxBinds {
		address, err := f.ports.address()
		if err != nil {
			return "", err
		}
		dial, err := f.Options.Intercept(link, name, address, target)
		if !errors.Is(err, syscall.EADDRINUSE) {
			return dial, err
		}
		taken = err
	}
	return "", taken
}

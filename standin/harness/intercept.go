package harness

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

// intercept returns the address to dial for target.
func (f *Fleet) intercept(link Link, name, target string) (string, error) {
	if f.Options.Intercept == nil {
		return target, nil
	}
	address, err := f.ports.Address()
	if err != nil {
		return "", err
	}
	return f.Options.Intercept(link, name, address, target)
}

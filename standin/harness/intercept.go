package harness

// Link is a kind of connection that Intercept can redirect.
type Link string

// OperatorsCommand is the name with which Intercept is called for the operators'
// command.
const OperatorsCommand = "acaciawinch"

// The links.
const (
	// LinkSide: from entries to the drpc listener of a sidecar. The name is that of the
	// sidecar's upstream.
	LinkSide Link = "side"
	// LinkObjects: from an entry, a sidecar or the operators' command to the object API.
	// The name is that of the process.
	LinkObjects Link = "objects"
)

// Intercept may place a proxy in front of target, an IP:port. The proxy may listen on
// address. Intercept returns the address to dial, which is target if there is no proxy.
type Intercept func(link Link, name, address, target string) (string, error)

// intercept calls Options.Intercept, if set, and returns the address to dial for target.
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

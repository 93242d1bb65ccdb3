package route

// Settings is the [routing] table of an entry's settings.
type Settings struct {
	// Policy names how an upstream is chosen.
	Policy string `toml:"policy"`
}

package settings

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// listen is a table with a required key and a key with a range.
type listen struct {
	Callers string `toml:"callers" required:"true"`
	Backlog int    `toml:"backlog"`
}

// Validate implements Validator.
func (l listen) Validate() error {
	if l.Backlog < 1 || l.Backlog > 100 {
		return errors.Join(Invalid("backlog", "must be 1 to 100, is %d", l.Backlog))
	}
	return nil
}

// stage is an element of an array of tables.
type stage struct {
	Name  string `toml:"name" required:"true"`
	Ratio float64
}

// file is the root of a settings file.
type file struct {
	Listen listen   `toml:"listen"`
	Stages []stage  `toml:"stages"`
	Peers  []string `toml:"peers"`
}

// defaults returns the values for keys that a file leaves out.
func defaults() file { return file{Listen: listen{Backlog: 10}} }

func TestDecodeKeepsDefaultsAndFillsKeys(t *testing.T) {
	got := defaults()
	text := "peers = [\"a\", \"b\"]\n[listen]\ncallers = \"127.0.0.1:1\"\n[[stages]]\nname = \"x\"\nRatio = 2\n"
	assert.NilError(t, Decode("f.toml", []byte(text), &got))
	want := file{Listen: listen{"127.0.0.1:1", 10}, Stages: []stage{{"x", 2}}, Peers: []string{"a", "b"}}
	assert.DeepEqual(t, got, want)
}

func TestDecodeNamesFileLineAndKeyOfEachProblem(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown key", "[listen]\ncallers = \"a\"\nport = 1",
			"f.toml:3: listen.port: unknown key; known here are backlog, callers"},
		{"unknown table", "[listen]\ncallers = \"a\"\n\n[other]\nx = 1",
			"f.toml:4: other: unknown key; known here are listen, peers, stages"},
		{"missing", "[listen]\nbacklog = 1", "f.toml:1: listen.callers: missing"},
		{"missing with its table", "peers = []", "f.toml:1: listen.callers: missing"},
		{"wrong type", "[listen]\ncallers = 7",
			"f.toml:2: listen.callers: must be of type string, is integer"},
		{"out of range", "[listen]\ncallers = \"a\"\nbacklog = 101",
			"f.toml:3: listen.backlog: must be 1 to 100, is 101"},
		{"table wanted", "listen = 3", "f.toml:1: listen: must be a table"},
		{"tables wanted", "stages = [1]\n[listen]\ncallers = \"a\"", "f.toml:1: stages[0]: must be a table"},
		{"second element", "[listen]\ncallers = \"a\"\n[[stages]]\nname = \"x\"\n[[stages]]\nname = 5",
			"f.toml:6: stages[1].name: must be of type string, is integer"},
		{"missing in element", "[listen]\ncallers = \"a\"\n[[stages]]\nname = \"x\"\n[[stages]]\nRatio = 5",
			"f.toml:5: stages[1].name: missing"},
		{"text in a long string is no key", "[listen]\ncallers = \"\"\"\nport = 1\n\"\"\"\nbacklog = 0",
			"f.toml:5: listen.backlog: must be 1 to 100, is 0"},
		{"dotted key", "peers = []\n\nlisten.backlog = 5", "f.toml:3: listen.callers: missing"},
		{"inline table", "peers = []\nlisten = { callers = \"a\", port = 1 }",
			"f.toml:2: listen.port: unknown key; known here are backlog, callers"},
		{"quoted header", "[\"listen\"]\nbacklog = 5", "f.toml:1: listen.callers: missing"},
		{"comment behind a header", "[listen] # where\nbacklog = 5 # many\ncallers = \"a # b\"\nport = 1",
			"f.toml:4: listen.port: unknown key; known here are backlog, callers"},
		{"all problems at once", "peers = 1\n[listen]\nbacklog = \"many\"\nport = 1",
			"f.toml:1: peers: must be of type array, is integer\n" +
				"f.toml:2: listen.callers: missing\n" +
				"f.toml:3: listen.backlog: must be of type integer, is string\n" +
				"f.toml:4: listen.port: unknown key; known here are backlog, callers"},
		{"syntax", "[listen]\ncallers = ", "f.toml:2: listen.callers: unexpected EOF; expected value"},
		{"syntax at the very end", "[listen]\ncallers = \"a\"\n\"\\", "f.toml:3: listen: invalid escape in string '\\\x00'"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := defaults()
			err := Decode("f.toml", []byte(c.text), &got)
			var problems Problems
			assert.Assert(t, errors.As(err, &problems))
			assert.Equal(t, err.Error(), c.want)
		})
	}
}

func TestLoadReportsAnUnreadableFile(t *testing.T) {
	got := defaults()
	assert.ErrorContains(t, Load(t.TempDir()+"/absent.toml", &got), "absent.toml")
}

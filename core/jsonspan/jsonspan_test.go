package jsonspan

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// deep returns an array that is nested to a depth.
func deep(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

func TestMembersOfAnyDepthAreSplit(t *testing.T) {
	for _, odd := range []string{deep(9_998), deep(10_001), deep(1_000_000), `"a\"}],\\"`, `1e999`, `-00`, `tru`, `{"a":{"b":[{}]}}`, `null`} {
		got, err := Members([]byte(` {"a" : 1,"odd":`+odd+` , "\u0062": "x" }`+"\n"), "b", "missing", "odd", "a")
		assert.NilError(t, err)
		assert.Equal(t, string(got[0]), `"x"`)
		assert.Assert(t, got[1] == nil)
		assert.Equal(t, string(got[2]), odd)
		assert.Equal(t, string(got[3]), "1")
	}
}

func TestElementsOfAnyDepthAreSplit(t *testing.T) {
	got, err := Elements([]byte(`[ 1,` + deep(20_000) + `,{"a":[]} ,"]"]`))
	assert.NilError(t, err)
	assert.Equal(t, len(got), 4)
	assert.Equal(t, string(got[2]), `{"a":[]}`)
	for _, empty := range []string{"null", " null\n", "[]", "[ ]"} {
		got, err := Elements([]byte(empty))
		assert.Assert(t, err == nil && len(got) == 0, "%s: %v", empty, err)
	}
}

func TestABrokenStructureIsAnError(t *testing.T) {
	for _, text := range []string{"", "{", "[1]", `{"a"}`, `{"a":}`, `{"a":1,}`, `{a:1}`, `{"a":1}}`, `{"a":1} x`, `{"a":"`, `{"a":"\`, `{"a":1 2}`, "null"} {
		_, err := Members([]byte(text), "a")
		assert.Assert(t, err != nil, text)
	}
	cut, err := Members([]byte(`{"b":2,"a":[1,{"x":"y`), "a", "b")
	assert.Assert(t, err != nil)
	assert.Equal(t, string(cut[0])+string(cut[1]), `[1,{"x":"y2`)
	for text, whole := range map[string]int{"": 0, "[": 0, "{}": 0, "[1,]": 1, "[1": 1, "[1,2 3]": 2, `[1,{"a":[`: 1, "[1] x": 1, "[,1]": 0, "[]]": 0} {
		got, err := Elements([]byte(text))
		assert.Assert(t, err != nil, text)
		assert.Equal(t, len(got), whole, text)
	}
}

// FuzzMembers checks that what encoding/json reads is split as it reads it.
func FuzzMembers(f *testing.F) {
	for _, text := range []string{`{"a":1,"b":[{}]}`, `[1,"\"",{"a":null}]`, ` { } `, `{"a":1,"a":2}`, `{"\u0061":"\\"}`, "null", "[1,", `{"a":1}}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var object map[string]json.RawMessage
		if json.Unmarshal(text, &object) == nil && object != nil {
			for name, want := range object {
				got, err := Members(text, name)
				assert.NilError(t, err)
				assert.Equal(t, string(got[0]), string(want))
			}
			return
		}
		var list []json.RawMessage
		if json.Unmarshal(text, &list) == nil {
			got, err := Elements(text)
			assert.NilError(t, err)
			assert.Equal(t, len(got), len(list))
			for i := range list {
				assert.Equal(t, string(got[i]), string(list[i]))
			}
			return
		}
		_, _ = Members(text, "a") // must end without a panic
		_, _ = Elements(text)     // as above
	})
}

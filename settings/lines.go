package settings

import (
	"fmt"
	"regexp"
	"strings"
)

// Lines holds the line number of each key of a TOML file. The TOML library checks the
// syntax; Lines only locates keys in text that the library accepted.
type Lines struct {
	file  string
	byKey map[string]int
}

// Problem returns a Problem at the line of the key.
func (l *Lines) Problem(key, text string) Problem {
	return Problem{File: l.file, Line: l.lineOfKey(key), Key: key, Text: text}
}

// lineOfKey returns the line of the key, else that of its nearest known parent,
// else 1.
func (l *Lines) lineOfKey(key string) int {
	for key != "" {
		if line, ok := l.byKey[key]; ok {
			return line
		}
		key = parentKey(key)
	}
	return 1
}

// parentKey returns the key without its last index or name.
func parentKey(key string) string {
	return key[:max(strings.LastIndexAny(key, ".["), 0)]
}

// tableHeader matches the header line of a table; keyLine matches the first line
// of a key and its value.
var (
	tableHeader = regexp.MustCompile(`^\s*(\[\[?)\s*([^\[\]]+?)\s*\]`)
	keyLine     = regexp.MustCompile(`^\s*([A-Za-z0-9_."'-]+)\s*=`)
)

// scanKeys returns the Lines of a TOML text.
func scanKeys(file string, data []byte) *Lines {
	l := &Lines{file: file, byKey: map[string]int{}}
	counts := map[string]int{}
	prefix, quote := "", ""
	for i, text := range strings.Split(string(data), "\n") {
		if quote != "" {
			quote = closeQuote(text, quote)
			continue
		}
		if m := tableHeader.FindStringSubmatch(text); m != nil {
			prefix = tablePath(unquote(m[2]), m[1] == "[[", counts)
			l.record(prefix, i+1)
			continue
		}
		if m := keyLine.FindStringSubmatch(text); m != nil {
			l.record(joinPath(prefix, unquote(m[1])), i+1)
			quote = openQuote(text)
		}
	}
	return l
}

// record sets the line of a key, and of its parents, unless they already have one.
func (l *Lines) record(key string, line int) {
	for ; key != ""; key = parentKey(key) {
		if _, ok := l.byKey[key]; !ok {
			l.byKey[key] = line
		}
	}
}

// tablePath returns the path of a table, with an index for each array of tables in
// it. element is true for a [[name]] header, which starts a new element. counts
// holds the number of elements of each array so far.
func tablePath(name string, element bool, counts map[string]int) string {
	segments := strings.Split(name, ".")
	path := ""
	for i, segment := range segments {
		path = joinPath(path, strings.TrimSpace(segment))
		if element && i == len(segments)-1 {
			counts[path]++
		}
		if n := counts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

// joinPath appends a name to a path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// unquote removes the quotes of a quoted key.
func unquote(key string) string {
	return strings.NewReplacer(`"`, "", `'`, "").Replace(key)
}

// openQuote returns the delimiter of a multi-line string that begins but does not
// end in the line text, or "" if there is none.
func openQuote(text string) string {
	for _, quote := range []string{`"""`, "'''"} {
		if strings.Count(text, quote)%2 == 1 {
			return quote
		}
	}
	return ""
}

// closeQuote returns the delimiter of the multi-line string that continues after the line
// text: "" if text ends the string that quote delimits, else quote.
func closeQuote(text, quote string) string {
	if strings.Count(text, quote)%2 == 1 {
		return ""
	}
	return quote
}

// Element returns the key of the element at index i of an array of tables.
func Element(key string, i int) string { return fmt.Sprintf("%s[%d]", key, i) }

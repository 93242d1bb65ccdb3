package settings

import (
	"fmt"
	"regexp"
	"strings"
)

// Lines tells on which line of a file each key stands. The TOML library checks
// the syntax; Lines only finds keys in text that it accepted.
type Lines struct {
	file string
	at   map[string]int
}

// Problem returns a Problem at the line of key.
func (l *Lines) Problem(key, text string) Problem {
	return Problem{File: l.file, Line: l.of(key), Key: key, Text: text}
}

// of returns the line of key, or of the nearest table around it, or 1.
func (l *Lines) of(key string) int {
	for key != "" {
		if line, ok := l.at[key]; ok {
			return line
		}
		key = parent(key)
	}
	return 1
}

// parent cuts the last index or the last name off a key.
func parent(key string) string {
	return key[:max(strings.LastIndexAny(key, ".["), 0)]
}

// tableHeader and keyLine match the first line of a table and of a key.
var (
	tableHeader = regexp.MustCompile(`^\s*(\[\[?)\s*([^\[\]]+?)\s*\]`)
	keyLine     = regexp.MustCompile(`^\s*([A-Za-z0-9_."'-]+)\s*=`)
)

// locate finds the keys of a TOML text.
func locate(file string, data []byte) *Lines {
	l := &Lines{file: file, at: map[string]int{}}
	counts := map[string]int{}
	prefix, quote := "", ""
	for i, text := range strings.Split(string(data), "\n") {
		if quote != "" {
			quote = closeQuote(text, quote)
			continue
		}
		if m := tableHeader.FindStringSubmatch(text); m != nil {
			prefix = tablePath(unquote(m[2]), m[1] == "[[", counts)
			l.note(prefix, i+1)
			continue
		}
		if m := keyLine.FindStringSubmatch(text); m != nil {
			l.note(join(prefix, unquote(m[1])), i+1)
			quote = openQuote(text)
		}
	}
	return l
}

// note keeps the first line of a key, and of the tables around it unless they
// have a line of their own already.
func (l *Lines) note(key string, line int) {
	for ; key != ""; key = parent(key) {
		if _, ok := l.at[key]; !ok {
			l.at[key] = line
		}
	}
}

// tablePath returns the path of a table with the index of each array of tables
// on the way. Counts holds how many elements each array has so far.
func tablePath(name string, element bool, counts map[string]int) string {
	parts := strings.Split(name, ".")
	path := ""
	for i, part := range parts {
		path = join(path, strings.TrimSpace(part))
		if element && i == len(parts)-1 {
			counts[path]++
		}
		if n := counts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

// join adds a name to a path.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// unquote drops the quotes of a quoted key.
func unquote(key string) string {
	return strings.NewReplacer(`"`, "", `'`, "").Replace(key)
}

// openQuote returns the delimiter of a multi-line string that text leaves open,
// or "".
func openQuote(text string) string {
	for _, quote := range []string{`"""`, "'''"} {
		if strings.Count(text, quote)%2 == 1 {
			return quote
		}
	}
	return ""
}

// closeQuote returns quote, or "" if text ends the multi-line string.
func closeQuote(text, quote string) string {
	if strings.Count(text, quote)%2 == 1 {
		return ""
	}
	return quote
}

// Element returns the key of element i of an array of tables.
func Element(key string, i int) string { return fmt.Sprintf("%s[%d]", key, i) }

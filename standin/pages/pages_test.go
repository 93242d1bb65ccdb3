package pages_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// root is the project's root folder, relative to this package.
const root = "../.."

// link matches the target of a Markdown link.
var link = regexp.MustCompile(`\]\(([^)#\s]+)(?:#[^)]*)?\)`)

// pages returns the paths of the project's Markdown pages.
func pages(t *testing.T) []string {
	t.Helper()
	var found []string
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/*/*.md"} {
		matches, err := filepath.Glob(filepath.Join(root, pattern))
		assert.NilError(t, err)
		found = append(found, matches...)
	}
	assert.Assert(t, len(found) > 5, "found only %v", found)
	return found
}

func TestLinksBetweenPagesResolve(t *testing.T) {
	for _, page := range pages(t) {
		text, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, match := range link.FindAllStringSubmatch(string(text), -1) {
			if strings.Contains(match[1], "://") {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(page), match[1]))
			assert.Check(t, err == nil, "%s links to %s, which does not exist", page, match[1])
		}
	}
}

// Package tools pins the versions of the programs that scripts/test.sh runs. The
// module is not part of the workspace, so that its dependencies stay out of the
// binaries.
package tools

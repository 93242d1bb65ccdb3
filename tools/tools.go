// Package tools pins the programs that the build's checks use. The module is not
// part of the workspace, so that its dependencies stay out of the binaries.
package tools

// Package pages holds the tests of the project's Markdown pages.
package pages

// Package pages holds the tests of the project's pages.
package pages

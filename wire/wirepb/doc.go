// Package wirepb holds the generated messages and services of wire.proto.
package wirepb

// Package settings reads the settings file of a node: its name, place and
// addresses, which do not change while the process runs. What operators tune is
// in package policy.
package settings

// Package settings reads the settings file of a node: its name, location and
// addresses, which do not change while the process runs. The parameters that
// operators tune are in package policy.
package settings

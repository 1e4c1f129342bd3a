// Package settings reads the daemon's settings from flags and REELRUN_*
// environment variables, and reports every invalid one with its place. It also
// defines the settings of the router, which package platform reads from a file.
package settings

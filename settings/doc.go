// Package settings reads the daemon's settings from flags and REELRUN_*
// environment variables, and reports every fault with its place.
package settings

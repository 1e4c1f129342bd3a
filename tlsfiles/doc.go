// Package tlsfiles builds TLS configurations from PEM files and reloads the files
// when they change, so that certificates can be renewed without a restart.
package tlsfiles

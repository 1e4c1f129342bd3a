// Package tlsfiles builds TLS configurations from PEM files and reads the files
// again when they change, so that certificates are renewed without a restart.
package tlsfiles

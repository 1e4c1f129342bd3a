// Package account summarizes the logs of all nodes for a period: how requests ended and why, by
// route and by time window, with the state of the engines in each window. It does for a whole
// period what package explain does for one request. It works on logs only and calls no node.
package account

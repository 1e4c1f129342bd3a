// Package machines follows the platform's list of live and leaving machines.
//
// As with the configuration, a few nodes of each zone watch the list, and the others fetch it from them when a
// heartbeat shows a newer revision. The list lags and is only a hint: a leaving machine gets no new work, but a
// machine that is absent from the list is not considered removed.
package machines

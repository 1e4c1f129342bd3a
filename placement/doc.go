// Package placement selects the owner of a key among live members by rendezvous
// hashing (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
// Rates", 1998): each member has a score for the key, and the highest wins. If
// a member leaves, only the keys that it owned move.
package placement

// Package placement picks the owner of a key among live members by rendezvous
// hashing (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
// Rates", 1998): each member has a score for the key, and the highest wins. A
// member that leaves moves only the keys it owned.
package placement

package router

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/replica"
)

// kindCutOff is the kind of the records by which nodes announce that they reach no backend. They are not kept in the
// store.
const kindCutOff objectapi.Kind = "cutoffnodes"

// announceCutOffAfter is how long a node must have been cut off before it says so: each announcement of a coordinator
// moves its services to another node, which knows the runs of the others only after their next sync.
const announceCutOffAfter = time.Second

// cutOffSpec is the content of a record.
type cutOffSpec struct {
	// Incarnation identifies the start of the node.
	Incarnation string `json:"start"`
	CutOff      bool   `json:"cutOff"`
}

// announceCutOff announces to the other nodes whether this one reaches backends, if that has changed.
func (r *Router) announceCutOff() {
	isCutOff := r.tunnels.tracker.CutOffFor() >= announceCutOffAfter
	if isCutOff == r.tunnels.isAnnounced {
		return
	}
	spec, err := json.Marshal(cutOffSpec{Incarnation: r.incarnation(), CutOff: isCutOff})
	if err != nil {
		r.options.Logger.Error("loss of back ends not announced", "error", err.Error())
		return
	}
	r.tunnels.isAnnounced = isCutOff
	name := r.options.Settings.Name
	known := r.replica.Version(replica.Key{Kind: kindCutOff, Name: name})
	// Seconds exceed the versions of earlier starts, and stay below the bits that hold the store's epoch.
	version := max(known+1, time.Now().Unix())
	r.replica.Apply(replica.SourceStore, replica.Record{Object: objectapi.Object{
		Kind: kindCutOff, Name: name, Version: version, Spec: spec,
	}})
}

// handleCutOff applies the announcement of a node.
func (r *Router) handleCutOff(change replica.Change) {
	var spec cutOffSpec
	name := change.Record.Object.Name
	if !change.Record.Deleted {
		if err := json.Unmarshal(change.Record.Object.Spec, &spec); err != nil {
			r.options.Logger.Error("announcement of lost back ends rejected", "name", name, "error", err.Error())
			return
		}
	}
	r.nodes.setCutOff(name, spec)
	message := "node reaches back ends again"
	if spec.CutOff {
		message = "node is cut off from back ends"
	}
	r.options.Logger.Info(message, "name", name, "source", string(change.Source))
}

// setCutOff records whether the start of a node that announces it is cut off from the backends.
func (l *nodeList) setCutOff(name string, announced cutOffSpec) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changeCount++
	if !announced.CutOff {
		delete(l.cutOffStarts, name)
		return
	}
	if l.cutOffStarts == nil {
		l.cutOffStarts = map[string]string{}
	}
	l.cutOffStarts[name] = announced.Incarnation
}

// isCutOff reports whether the present start of a node has announced that it reaches no backend; the lock is held.
func (l *nodeList) isCutOff(name string, node coordinator.Node) bool {
	start, announced := l.cutOffStarts[name]
	return announced && start == node.Incarnation
}

// reachingBackends returns the nodes that reach backends, or all if none does.
func reachingBackends(nodes []knownNode) []knownNode {
	isCutOff := func(node knownNode) bool { return node.cutOff }
	if !slices.ContainsFunc(nodes, isCutOff) {
		return nodes
	}
	reaching := slices.DeleteFunc(slices.Clone(nodes), isCutOff)
	if len(reaching) == 0 {
		return nodes
	}
	return reaching
}

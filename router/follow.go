package router

import (
	"context"
	"log/slog"
	"sync"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/objectapi"
)

// contact logs when the store is lost and when it is back.
type contact struct {
	logger *slog.Logger
	kind   objectapi.Kind

	mu   sync.Mutex
	lost bool
}

// Contact implements part of objectapi.Follower.
func (c *contact) Contact(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil && !c.lost:
		c.logger.Warn("store lost", "kind", string(c.kind), "error", err.Error())
	case err == nil && c.lost:
		c.logger.Info("store back", "kind", string(c.kind))
	}
	c.lost = err != nil
}

// configurationFollower puts each configuration in force.
type configurationFollower struct {
	contact
	router *Router
}

func (r *Router) followConfiguration(ctx context.Context) {
	kind := r.options.Backplane.ConfigurationKind
	follower := &configurationFollower{contact: contact{logger: r.options.Logger, kind: kind}, router: r}
	objectapi.Follow(ctx, r.options.Backplane.Store, kind, follower)
}

// Replace implements objectapi.Follower.
func (f *configurationFollower) Replace(objects []objectapi.Object) {
	for _, object := range objects {
		f.take(object)
	}
}

// Apply implements objectapi.Follower.
func (f *configurationFollower) Apply(event objectapi.Event) {
	if !event.Deleted {
		f.take(event.Object)
	}
}

func (f *configurationFollower) take(object objectapi.Object) {
	logger := f.router.options.Logger
	decoded, err := f.router.options.Backplane.DecodeConfiguration(object)
	if err != nil {
		logger.Error("configuration refused", "revision", object.Version, "error", err.Error())
		return
	}
	if f.router.gateway.Configure(decoded) {
		logger.Info("configuration in force", "version", decoded.Version, "revision", object.Version, "routes", decoded.RouteCount())
	}
}

// backendFollower keeps the registry of back ends.
type backendFollower struct {
	contact
	router *Router
}

func (r *Router) followBackends(ctx context.Context) {
	kind := r.options.Backplane.BackendKind
	follower := &backendFollower{contact: contact{logger: r.options.Logger, kind: kind}, router: r}
	objectapi.Follow(ctx, r.options.Backplane.Store, kind, follower)
}

// Replace implements objectapi.Follower.
func (f *backendFollower) Replace(objects []objectapi.Object) {
	backends := make([]backend.Backend, 0, len(objects))
	for _, object := range objects {
		if decoded, ok := f.decode(object); ok {
			backends = append(backends, decoded)
		}
	}
	gone := f.router.backends.Replace(backends)
	f.router.options.Logger.Info("back ends listed", "count", len(backends), "gone", gone)
}

// Apply implements objectapi.Follower.
func (f *backendFollower) Apply(event objectapi.Event) {
	logger := f.router.options.Logger
	if event.Deleted {
		if f.router.backends.Remove(event.Object.Name) {
			logger.Info("back end gone", "backend", event.Object.Name, "revision", event.Object.Version)
		}
		return
	}
	decoded, ok := f.decode(event.Object)
	if ok && f.router.backends.Update(decoded) {
		logger.Info("back end changed", "backend", decoded.ID, "service", decoded.Service, "state", string(decoded.State),
			"role", string(decoded.Role), "revision", event.Object.Version)
	}
}

func (f *backendFollower) decode(object objectapi.Object) (backend.Backend, bool) {
	decoded, err := f.router.options.Backplane.DecodeBackend(object)
	if err != nil {
		f.router.options.Logger.Error("back end refused", "backend", object.Name, "error", err.Error())
		return backend.Backend{}, false
	}
	return decoded, true
}

package node

import (
	"context"
	"crypto/tls"
	"expvar"
	"log/slog"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/clock"
	"github.com/reelrun/reelrun/engine"
	"github.com/reelrun/reelrun/filter"
	"github.com/reelrun/reelrun/membership"
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/operator"
	"github.com/reelrun/reelrun/service"
	"github.com/reelrun/reelrun/settings"
	"github.com/reelrun/reelrun/tlsfiles"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
	// maxConcurrentStreams bounds the HTTP/2 streams of one caller's connection.
	maxConcurrentStreams = 256
	backendDialTimeout   = time.Second
	// maxIdlePerBackend bounds the idle connections to one engine or replica.
	maxIdlePerBackend = 64
	stopTimeout       = 5 * time.Second
)

// Node is a node with its listeners.
type Node struct {
	settings *settings.Settings
	core     *Core
	logger   *slog.Logger
	callers  *http.Server
	operator *http.Server
	peers    *tlsfiles.Source
	outside  *tlsfiles.Source
}

// New assembles a node from checked settings.
func New(from *settings.Settings, logger *slog.Logger) (*Node, error) {
	counting, err := clock.Boot()
	if err != nil {
		return nil, err
	}
	n := &Node{settings: from, logger: logger}
	if err := n.loadTLS(); err != nil {
		return nil, err
	}
	transport := newTransport()
	store := objectapi.NewClient(from.PlatformAddress, transport)
	n.core = NewCore(CoreOptions{
		Name: from.Name, Zone: from.Zone, PeerAddress: from.PeerAddress, Seeds: from.Seeds,
		LeaseNow: counting.Exact,
		Dial:     n.dialPeer, Store: store, Engines: engine.NewClient(transport),
		Membership:   membership.Options{Interval: from.HeartbeatInterval},
		ResumeWindow: from.ResumeWindow,
	})
	n.callers = n.newServer(CallerHandler(n.core, transport, from.MaxBodyBytes))
	handler, err := n.operatorHandler(store)
	if err != nil {
		return nil, err
	}
	n.operator = n.newServer(handler)
	return n, nil
}

// newTransport returns the connections to engines, services and the platform.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: backendDialTimeout}
	return &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePerBackend,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
}

func (n *Node) loadTLS() error {
	var err error
	if n.settings.PeerCertificate != "" {
		n.peers, err = tlsfiles.NewSource(tlsfiles.Files{
			Certificate: n.settings.PeerCertificate, Key: n.settings.PeerKey, Authority: n.settings.PeerAuthority,
		})
		if err != nil {
			return errors.Wrap(err, "TLS between nodes")
		}
	}
	if n.settings.CallerCertificate != "" {
		n.outside, err = tlsfiles.NewSource(tlsfiles.Files{Certificate: n.settings.CallerCertificate, Key: n.settings.CallerKey})
	}
	return errors.Wrap(err, "TLS to callers")
}

func (n *Node) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{}
	if n.peers == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	secured := &tls.Dialer{NetDialer: dialer, Config: n.peers.ClientConfig()}
	return secured.DialContext(ctx, "tcp", address)
}

func (n *Node) newServer(handler http.Handler) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(n.outside == nil)
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, Protocols: protocols,
		HTTP2:    &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams},
		ErrorLog: slog.NewLogLogger(n.logger.Handler(), slog.LevelDebug),
	}
}

// CallerHandler returns the chain that every caller's request passes.
func CallerHandler(core *Core, transport http.RoundTripper, maxBodyBytes int64) http.Handler {
	services := service.NewHandler(service.Options{
		Claims: core.Claims, Transport: transport, Metrics: core.Metrics, Events: core.Events, Leaving: core.Machines.IsLeaving,
	})
	limit := &filter.Limit{MaxBodyBytes: maxBodyBytes}
	chain := func(last filter.Handler) http.Handler {
		return filter.Chain(last,
			&filter.Identify{Configuration: core.Configuration, Metrics: core.Metrics, Events: core.Events, Now: time.Now},
			&filter.Ready{Accepts: core.AcceptsWork},
			&filter.Authenticate{},
			limit,
		)
	}
	mux := http.NewServeMux()
	mux.Handle("POST /v1/completions", chain(core.Completions.Completions()))
	mux.Handle("POST /v1/chat/completions", chain(core.Completions.ChatCompletions()))
	mux.Handle("/services/{name}/{path...}", chain(services))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { readyz(core, w) })
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { errNoPath.WriteHTTP(w) })
	return mux
}

var errNoPath = api.NewError(http.StatusNotFound, api.CodeNotFound, api.OutcomeNotRun, "no such path or method")

func readyz(core *Core, w http.ResponseWriter) {
	if !core.IsReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// operatorHandler serves the operators' API, the counters and the profiles.
func (n *Node) operatorHandler(store objectapi.Store) (http.Handler, error) {
	handler, err := operator.NewHandler(operator.Options{
		Configuration: n.core.Configuration, Store: store, Fleet: fleet{n.core}, SeesHalf: n.core.SeesHalf,
		TokenHash: n.settings.OperatorTokenHash, Events: n.core.Events,
	})
	if err != nil {
		return nil, err
	}
	expvar.Publish("reelrun", n.core.Metrics)
	debug := http.NewServeMux()
	debug.Handle("GET /debug/vars", expvar.Handler())
	debug.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	debug.HandleFunc("GET /debug/pprof/heap", pprof.Handler("heap").ServeHTTP)
	mux := http.NewServeMux()
	mux.Handle("/v1/", handler)
	mux.Handle("/debug/", operator.RequireToken(n.settings.OperatorTokenHash, debug))
	return mux, nil
}

// Run serves until the context ends, and then stops as planned: unready first,
// then without new connections, then when the last request has ended.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	n.logger.Info("node started", "name", n.settings.Name, "zone", n.settings.Zone)
	coreCtx, stopCore := context.WithCancel(context.Background())
	defer stopCore()
	var group errgroup.Group
	group.Go(func() error { return n.core.Run(coreCtx, listeners.peers) })
	group.Go(func() error { return ignoreClosed(n.callers.Serve(listeners.callers)) })
	group.Go(func() error { return ignoreClosed(n.operator.Serve(listeners.operator)) })
	<-ctx.Done()
	n.stop()
	stopCore()
	err = group.Wait()
	n.logger.Info("node stopped", "name", n.settings.Name)
	return err
}

// stop drains the node.
func (n *Node) stop() {
	n.logger.Info("node draining", "name", n.settings.Name)
	n.core.Drain()
	time.Sleep(n.settings.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTimeout)
	defer cancel()
	if err := n.callers.Shutdown(ctx); err != nil {
		n.logger.Warn("requests were cut off", "error", err)
		_ = n.callers.Close()
	}
	n.core.Completions.WaitCancels()
	operatorCtx, cancelOperator := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelOperator()
	if err := n.operator.Shutdown(operatorCtx); err != nil {
		_ = n.operator.Close()
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// listeners are the node's open ports.
type listeners struct {
	callers, peers, operator net.Listener
}

func (n *Node) listen() (*listeners, error) {
	opened := &listeners{}
	for _, port := range []struct {
		address string
		source  *tlsfiles.Source
		target  *net.Listener
	}{
		{n.settings.CallerAddress, n.outside, &opened.callers},
		{n.settings.PeerAddress, n.peers, &opened.peers},
		{n.settings.OperatorAddress, n.outside, &opened.operator},
	} {
		listener, err := net.Listen("tcp", port.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", port.address)
		}
		if port.source != nil {
			listener = tls.NewListener(listener, port.source.ServerConfig())
		}
		*port.target = listener
	}
	return opened, nil
}

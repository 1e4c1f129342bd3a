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

	"github.com/reelrun/reelrun/acceptretry"
	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/clock"
	"github.com/reelrun/reelrun/engine"
	"github.com/reelrun/reelrun/filter"
	"github.com/reelrun/reelrun/membership"
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/operator"
	"github.com/reelrun/reelrun/requestbody"
	"github.com/reelrun/reelrun/resetconn"
	"github.com/reelrun/reelrun/service"
	"github.com/reelrun/reelrun/settings"
	"github.com/reelrun/reelrun/tlsfiles"
)

const (
	readHeaderTimeout = 10 * time.Second
	// bodyTimeout bounds the time in which the body of a request is read: 1 MiB at 0.3 Mbit/s.
	bodyTimeout    = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
	// maxConcurrentStreams bounds the HTTP/2 streams of one caller's connection.
	maxConcurrentStreams = 256
	backendDialTimeout   = time.Second
	// maxIdlePerBackend bounds the idle connections to one engine or service replica.
	maxIdlePerBackend = 64
	stopTimeout       = 5 * time.Second
)

// Node is a node with its listeners.
type Node struct {
	settings       *settings.Settings
	core           *Core
	logger         *slog.Logger
	callerServer   *http.Server
	operatorServer *http.Server
	// peerTLS and callerTLS are nil without TLS. The operators' listener uses callerTLS as well.
	peerTLS   *tlsfiles.Source
	callerTLS *tlsfiles.Source
}

// New assembles a node from validated settings.
func New(parsed *settings.Settings, logger *slog.Logger) (*Node, error) {
	bootClock, err := clock.Boot()
	if err != nil {
		return nil, err
	}
	n := &Node{settings: parsed, logger: logger}
	if err := n.loadTLS(); err != nil {
		return nil, err
	}
	transport := newTransport()
	store := objectapi.NewClient(parsed.PlatformAddress, transport)
	n.core = NewCore(CoreOptions{
		Name: parsed.Name, Zone: parsed.Zone, PeerAddress: parsed.PeerAddress, Seeds: parsed.Seeds,
		LeaseNow: bootClock.Exact,
		Dial:     n.dialPeer, Store: store, Engines: engine.NewClient(transport),
		Membership:   membership.Options{Interval: parsed.HeartbeatInterval},
		ResumeWindow: parsed.ResumeWindow,
	})
	n.callerServer = n.newServer(CallerHandler(n.core, transport, parsed.MaxBodyBytes))
	handler, err := n.operatorHandler(store)
	if err != nil {
		return nil, err
	}
	n.operatorServer = n.newServer(handler)
	return n, nil
}

// newTransport returns the transport for engines, services and the platform.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: backendDialTimeout}
	return &http.Transport{
		DialContext: resetconn.Dialer(dialer.DialContext), MaxIdleConnsPerHost: maxIdlePerBackend,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
}

func (n *Node) loadTLS() error {
	var err error
	if n.settings.PeerCertificate != "" {
		n.peerTLS, err = tlsfiles.NewSource(tlsfiles.Files{
			Certificate: n.settings.PeerCertificate, Key: n.settings.PeerKey, Authority: n.settings.PeerAuthority,
		})
		if err != nil {
			return errors.Wrap(err, "load TLS files for connections between nodes")
		}
	}
	if n.settings.CallerCertificate != "" {
		n.callerTLS, err = tlsfiles.NewSource(tlsfiles.Files{Certificate: n.settings.CallerCertificate, Key: n.settings.CallerKey})
	}
	return errors.Wrap(err, "load TLS files for callers and operators")
}

func (n *Node) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	plain := &net.Dialer{}
	if n.peerTLS == nil {
		return plain.DialContext(ctx, "tcp", address)
	}
	dialer := &tls.Dialer{NetDialer: plain, Config: n.peerTLS.ClientConfig()}
	return dialer.DialContext(ctx, "tcp", address)
}

func (n *Node) newServer(handler http.Handler) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(n.callerTLS == nil)
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, Protocols: protocols,
		HTTP2:    &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams},
		ErrorLog: slog.NewLogLogger(n.logger.Handler(), slog.LevelDebug),
	}
}

// CallerHandler returns the handler of the callers' API with its filters.
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
	return limitBodies(mux)
}

// limitBodies bounds the time in which the bodies of all requests are read.
func limitBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestbody.LimitTime(w, r, bodyTimeout)
		next.ServeHTTP(w, r)
	})
}

var errNoPath = api.NewError(http.StatusNotFound, api.CodeNotFound, api.OutcomeNotRun, "no such path or method")

func readyz(core *Core, w http.ResponseWriter) {
	if !core.IsReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// operatorHandler returns the handler of the operators' API, the metrics and the profiles.
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

// Run serves until the context is done, then performs a planned stop: it makes the
// node unready, closes the listeners, and waits for the requests in flight.
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
	group.Go(func() error { return ignoreClosed(n.callerServer.Serve(listeners.callers)) })
	group.Go(func() error { return ignoreClosed(n.operatorServer.Serve(listeners.operator)) })
	<-ctx.Done()
	n.stop()
	stopCore()
	err = group.Wait()
	n.logger.Info("node stopped", "name", n.settings.Name)
	return err
}

// stop drains the node and shuts its servers down.
func (n *Node) stop() {
	n.logger.Info("node draining", "name", n.settings.Name)
	n.core.Drain()
	time.Sleep(n.settings.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTimeout)
	defer cancel()
	if err := n.callerServer.Shutdown(ctx); err != nil {
		n.logger.Warn("drain timeout reached with requests in flight; closing their connections", "error", err)
		_ = n.callerServer.Close()
	}
	n.core.Completions.WaitCancels()
	operatorCtx, cancelOperator := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelOperator()
	if err := n.operatorServer.Shutdown(operatorCtx); err != nil {
		_ = n.operatorServer.Close()
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// listeners holds one listener for each kind of client.
type listeners struct {
	callers, peers, operator net.Listener
}

func (n *Node) listen() (*listeners, error) {
	bound := &listeners{}
	for _, endpoint := range []struct {
		address string
		source  *tlsfiles.Source
		target  *net.Listener
	}{
		{n.settings.CallerAddress, n.callerTLS, &bound.callers},
		{n.settings.PeerAddress, n.peerTLS, &bound.peers},
		{n.settings.OperatorAddress, n.callerTLS, &bound.operator},
	} {
		listener, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", endpoint.address)
		}
		listener = acceptretry.Wrap(listener, n.logger)
		if endpoint.source != nil {
			listener = tls.NewListener(listener, endpoint.source.ServerConfig())
		}
		*endpoint.target = listener
	}
	return bound, nil
}

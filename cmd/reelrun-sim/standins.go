package main

import (
	"context"
	"flag"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/sim/enginesim"
	"github.com/reelrun/reelrun/sim/fault"
	"github.com/reelrun/reelrun/sim/platformsim"
	"github.com/reelrun/reelrun/sim/servicesim"
)

const stopTimeout = 2 * time.Second

// serve serves the handler, with injectable faults, until the context is done.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	server := &http.Server{Handler: fault.NewInjector().Wrap(handler), ReadHeaderTimeout: stopTimeout, Protocols: protocols}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return server.Close()
	}
	return nil
}

func platformCommand() *ffcli.Command {
	flags := flag.NewFlagSet("platform", flag.ContinueOnError)
	address := flags.String("address", "127.0.0.1:7000", "address to listen on")
	writes := flags.Float64("writes", 300, "writes per second")
	reads := flags.Float64("reads", 2000, "reads per second; a waiting watch counts as one")
	lag := flags.Duration("machine-lag", time.Second, "lag of the machine list")
	weightRate := flags.Float64("weight-rate", 4<<20, "bandwidth of the weight store in bytes per second")
	weightBytes := flags.Int("weight-bytes", 1<<20, "bytes of a model's weights")
	return &ffcli.Command{
		Name: "platform", ShortUsage: "reelrun-sim platform [flags]", ShortHelp: "Stand in for the platform.", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			store := platformsim.NewStore(platformsim.Options{WritesPerSecond: *writes, ReadsPerSecond: *reads, MachineLag: *lag})
			return serve(ctx, *address, platformsim.Handler(store, platformsim.NewWeights(*weightRate, *weightBytes)))
		},
	}
}

func engineCommand() *ffcli.Command {
	flags := flag.NewFlagSet("engine", flag.ContinueOnError)
	address := flags.String("address", "127.0.0.1:7100", "address to listen on")
	platformAddress := flags.String("platform", "127.0.0.1:7000", "address of the platform, for its weight store")
	var options enginesim.Options
	flags.StringVar(&options.Name, "name", "engine", "name of the engine")
	flags.StringVar(&options.Model, "model", "model", "model that the engine serves")
	role := flags.String("role", "prefill", "prefill or decode")
	flags.IntVar(&options.Slots, "slots", api.DefaultSlots, "requests decoded concurrently")
	flags.IntVar(&options.KVTokens, "kv-tokens", api.DefaultKVTokens, "KV-cache memory in tokens")
	flags.Float64Var(&options.PrefillTokensPerSecond, "prefill-rate", api.DefaultPrefillTokensPerSecond, "prefill tokens per second")
	flags.DurationVar(&options.StepTime, "step", api.DefaultStepTime, "time between tokens with a full batch")
	flags.Float64Var(&options.LinkTokensPerSecond, "link-rate", api.DefaultLinkTokensPerSecond, "KV tokens exported per second")
	flags.DurationVar(&options.Hold, "hold", api.DefaultHold, "time for which a prefill result is kept")
	flags.DurationVar(&options.StreamRetention, "linger", 5*time.Second, "time for which an ended stream can be read again")
	flags.DurationVar(&options.LoadLag, "load-lag", 500*time.Millisecond, "age of load reports")
	flags.BoolVar(&options.ChecksFencingToken, "checks-fence", false, "reject orders with a stale fencing token")
	flags.IntVar(&options.CacheBlocks, "cache-blocks", 4096, "blocks of the prefix cache")
	flags.DurationVar(&options.CacheDelay, "cache-delay", time.Second, "delay of cache events")
	flags.Uint64Var(&options.CacheGapEvery, "cache-gap-every", 17, "omit each cache event whose number is divisible by this; 0 omits none")
	return &ffcli.Command{
		Name: "engine", ShortUsage: "reelrun-sim engine [flags]", ShortHelp: "Stand in for a model engine.", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			options.Role = api.Role(*role)
			options.HTTP = &http.Client{}
			options.LoadModel = weightLoader(*platformAddress)
			return serve(ctx, *address, enginesim.Handler(enginesim.New(options)))
		},
	}
}

// weightLoader returns a function that reads a model's weights from the platform's weight store.
func weightLoader(platformAddress string) func(ctx context.Context, model, version string) error {
	return func(ctx context.Context, model, version string) error {
		target := "http://" + platformAddress + platformsim.PathWeights + model + "/" + version
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
		if err != nil {
			return errors.Wrap(err, "build request")
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return errors.Wrap(err, "fetch weights")
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		return errors.Wrap(err, "read weights")
	}
}

func serviceCommand() *ffcli.Command {
	flags := flag.NewFlagSet("service", flag.ContinueOnError)
	address := flags.String("address", "127.0.0.1:7300", "address to listen on")
	name := flags.String("name", "service", "name of the service")
	work := flags.Duration("work", 2*time.Millisecond, "time a call takes")
	return &ffcli.Command{
		Name: "service", ShortUsage: "reelrun-sim service [flags]", ShortHelp: "Stand in for a plain service.", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			return serve(ctx, *address, servicesim.New(*name, *work))
		},
	}
}

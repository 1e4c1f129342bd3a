package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/platform/standin"
)

const (
	// deepMark stands for a deep value in objects of the stand-in's store, which cannot hold one.
	deepMark = `"deep value"`
	// deepLevels is the number of levels of a deep value of about 1 MB.
	deepLevels = 500_000
)

// deepWriter writes deep values in place of their marks.
type deepWriter struct {
	http.ResponseWriter
	value []byte
}

// Write implements http.ResponseWriter. The stand-in writes a response as a whole.
func (w deepWriter) Write(data []byte) (int, error) {
	if _, err := w.ResponseWriter.Write(bytes.ReplaceAll(data, []byte(deepMark), w.value)); err != nil {
		return 0, err
	}
	return len(data), nil
}

// withDeepValues returns a handler that serves a store with deep values in place of their marks.
func withDeepValues(store *standin.Store) http.Handler {
	value := []byte(strings.Repeat("[", deepLevels) + strings.Repeat("]", deepLevels))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { store.ServeHTTP(deepWriter{w, value}, r) })
}

// peakMemory returns the largest resident memory of a process so far, in bytes.
func peakMemory(t *testing.T, process int) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if text, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return kilobytes << 10
		}
	}
	t.Fatal("no peak memory")
	return 0
}

// TestDeepEntriesDoNotExhaustMemory guards against entries of another writer that take a process over its memory: ten of 1 MB, lists
// within lists, change each second, an object of the nodes' own kind and a configuration are like them. A node on the smallest machine
// goes on, starts again beside them, and serves.
func TestDeepEntriesDoNotExhaustMemory(t *testing.T) {
	const (
		machineMegabytes = 112
		entries          = 10
		rounds           = 8
		interval         = time.Second
		requestInterval  = 40 * time.Millisecond
	)
	h := newHarnessWith(t, 84, harnessOptions{nodes: 1, zones: 1, engines: 3, plain: 3, memoryMegabytes: machineMegabytes, storeHandler: withDeepValues})
	defer h.close()
	h.awaitReady()
	n := h.nodes[0]
	deep := map[string]string{"service": strings.Trim(deepMark, `"`)}
	served, sent := 0, 0
	var mu sync.Mutex
	request := func(id string) {
		o := send(&http.Transport{DisableKeepAlives: true}, n, kindNonIdempotent, id, true, steadyTenant)
		mu.Lock()
		defer mu.Unlock()
		sent++
		if o.status == http.StatusOK && o.complete {
			served++
		}
	}
	for round := range rounds {
		for i := range entries {
			h.store.Put("servers", fmt.Sprintf("deep-%d", i), map[string]any{"service": deep["service"], "round": round})
		}
		h.store.Put("reelrun-nodes", "deep", deep)
		h.store.Put("config", "main", map[string]any{"version": deep["service"], "round": round})
		var sending sync.WaitGroup
		for i := range int(interval / requestInterval) {
			sending.Go(func() { request(fmt.Sprintf("deep%d-%d-%d", os.Getpid(), round, i)) })
			time.Sleep(requestInterval)
		}
		sending.Wait()
	}
	g := NewWithT(t)
	running := peakMemory(t, n.process.Process.Pid)
	t.Logf("%d of %d requests served, peak memory %d MB", served, sent, running>>20)
	g.Expect(running).To(BeNumerically("<", machineMegabytes<<20))
	g.Expect(n.ended).NotTo(BeClosed())
	g.Expect(served).To(Equal(sent))
	h.configure()
	h.restart(n)
	h.awaitReady()
	request(fmt.Sprintf("deep%d-restarted", os.Getpid()))
	g.Expect(served).To(Equal(sent))
	restarted := peakMemory(t, n.process.Process.Pid)
	t.Logf("peak memory after the start %d MB", restarted>>20)
	g.Expect(restarted).To(BeNumerically("<", machineMegabytes<<20))
}

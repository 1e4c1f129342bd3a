package claim

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/membership"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/sim/platformsim"
)

// attempt is the arrival of a call at an entry node, which is the node that received it from the caller.
type attempt struct {
	key   int
	pause time.Duration
	// owners are the writers that the entry node considers the owner and its successor.
	owners [2]int
	// delay is the delay of the first owner's response.
	delay time.Duration
	// effects determine what the platform does with its next calls.
	effects []platformsim.Effect
}

func drawAttempt(t *rapid.T) attempt {
	return attempt{
		key:     rapid.IntRange(0, 2).Draw(t, "key"),
		pause:   time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond,
		owners:  [2]int{rapid.IntRange(0, 2).Draw(t, "owner"), rapid.IntRange(0, 2).Draw(t, "successor")},
		delay:   time.Duration(rapid.SampledFrom([]int{0, 0, 1000, 1800, 5000, 700_000}).Draw(t, "slow")) * time.Millisecond,
		effects: rapid.SliceOfN(rapid.SampledFrom([]platformsim.Effect{platformsim.Pass, platformsim.Pass, platformsim.Reject, platformsim.DropResponse}), 0, 6).Draw(t, "effects"),
	}
}

// effectQueue returns the drawn effects in order, and then lets all calls pass.
type effectQueue struct {
	mu      sync.Mutex
	effects []platformsim.Effect
}

func (s *effectQueue) add(effects []platformsim.Effect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effects = append(s.effects, effects...)
}

func (s *effectQueue) next(bool) platformsim.Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.effects) == 0 {
		return platformsim.Pass
	}
	first := s.effects[0]
	s.effects = s.effects[1:]
	return first
}

// owners sends a claim to the first writer, and to the second if the first is too slow, as
// cluster.CallOwnerOrSuccessor does.
type owners struct {
	writers []*Writer
	attempt attempt
	running *sync.WaitGroup
}

func (o owners) CallOwnerOrSuccessor(ctx context.Context, _ string, timeout time.Duration, build func(int) *peerpb.Request) (*peerpb.Response, membership.Member, error) {
	for number, index := range o.attempt.owners {
		claim := build(number).GetClaim()
		delay := time.Duration(0)
		if number == 0 {
			delay = o.attempt.delay
		}
		response := make(chan error, 1)
		o.running.Add(1)
		go func() {
			defer o.running.Done()
			key, err := ParseKey(claim.GetTenant(), claim.GetKey())
			if err != nil {
				response <- err
				return
			}
			// Half of the delay is on the way to the owner, half on the way back.
			time.Sleep(delay / 2)
			err = o.writers[index].Claim(context.Background(), key, claim.GetClaimId(), claim.GetBodyDigest())
			time.Sleep(delay / 2)
			response <- err
		}()
		select {
		case err := <-response:
			return nil, membership.Member{}, err
		case <-time.After(timeout):
		case <-ctx.Done():
			return nil, membership.Member{}, ctx.Err()
		}
	}
	return nil, membership.Member{}, errors.New("no response")
}

// atMostOnce runs attempts for a few keys at several owners over a platform that rejects calls and loses
// responses. A key must be granted at most once.
func atMostOnce(outer *testing.T, newWriter func(*platformsim.FaultyStore) *Writer) func(*rapid.T) {
	return func(t *rapid.T) {
		attempts := rapid.SliceOfN(rapid.Custom(drawAttempt), 2, 25).Draw(t, "tries")
		for key, count := range runAttempts(outer, attempts, newWriter) {
			if count > 1 {
				t.Errorf("key %d was granted %d times", key, count)
			}
		}
	}
}

func runAttempts(t *testing.T, attempts []attempt, newWriter func(*platformsim.FaultyStore) *Writer) (granted map[int]int) {
	granted = map[int]int{}
	synctest.Test(t, func(t *testing.T) {
		effects := &effectQueue{}
		store := platformsim.NewFaultyStore(platformsim.NewStore(platformsim.Options{}), effects.next)
		writers := []*Writer{newWriter(store), newWriter(store), newWriter(store)}
		var keys [3]Key
		for i := range keys {
			id, err := uuid.NewV7()
			if err != nil {
				t.Fatal(err)
			}
			keys[i] = Key{Tenant: "tenant", ID: id}
		}
		body := sha256.Sum256([]byte("body"))
		var mu sync.Mutex
		var running sync.WaitGroup
		for number, next := range attempts {
			effects.add(next.effects)
			running.Add(1)
			go func() {
				defer running.Done()
				client := NewClient(owners{writers, next, &running})
				_, err := client.Claim(context.Background(), keys[next.key], fmt.Sprintf("request-%d", number), body[:])
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					granted[next.key]++
				}
			}()
			time.Sleep(next.pause)
			writers[number%len(writers)].Sweep(context.Background(), func(int) bool { return true })
		}
		running.Wait()
		for _, writer := range writers {
			writer.Wait()
		}
	})
	return granted
}

func newTestWriter(store *platformsim.FaultyStore) *Writer {
	return NewWriter(store, metrics.NewSet(), time.Now)
}

func TestKeyIsGrantedAtMostOnce(t *testing.T) {
	rapid.Check(t, atMostOnce(t, newTestWriter))
}

func FuzzKeyIsGrantedAtMostOnce(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		rapid.MakeFuzz(atMostOnce(t, newTestWriter))(t, data)
	})
}

// TestOracleDetectsUndoneClaim verifies the check of atMostOnce. A correct owner that answers too late must not
// undo the claim that its successor made; a faulty writer that removes the claims of other attempts must be
// detected.
func TestOracleDetectsUndoneClaim(t *testing.T) {
	attempts := []attempt{
		// The first owner writes the claim and answers too late; the successor grants.
		{key: 0, owners: [2]int{0, 1}, delay: 1800 * time.Millisecond, pause: 6 * time.Second},
		{key: 0, owners: [2]int{0, 1}},
	}
	if granted := runAttempts(t, attempts, newTestWriter); granted[0] != 1 {
		t.Fatalf("granted %d times", granted[0])
	}
	newFaultyWriter := func(store *platformsim.FaultyStore) *Writer {
		writer := newTestWriter(store)
		// This writer considers every claim abandoned.
		for number := range 2 {
			for attempt := range 2 {
				writer.abandoned[attemptID(fmt.Sprintf("request-%d", number), attempt)] = time.Now()
			}
		}
		return writer
	}
	created := 0
	firstFaulty := func(store *platformsim.FaultyStore) *Writer {
		created++
		if created == 1 {
			return newFaultyWriter(store)
		}
		return newTestWriter(store)
	}
	attempts = []attempt{
		{key: 0, owners: [2]int{1, 2}, pause: time.Second},
		// The faulty writer removes the existing claim with its next write.
		{key: 1, owners: [2]int{0, 0}, pause: time.Second},
		{key: 0, owners: [2]int{0, 0}, pause: 3 * time.Second},
		{key: 0, owners: [2]int{2, 1}, pause: time.Second},
	}
	if granted := runAttempts(t, attempts, firstFaulty); granted[0] < 2 {
		t.Fatalf("with a faulty writer the key was granted %d times, so the check was not exercised", granted[0])
	}
}

func TestExpiredKeyIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewStore(platformsim.Options{})
		writer := NewWriter(store, metrics.NewSet(), time.Now)
		id, err := uuid.NewV7()
		if err != nil {
			t.Fatal(err)
		}
		key := Key{Tenant: "tenant", ID: id}
		if err := writer.Claim(context.Background(), key, "first#0", nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(Retention + maxClockSkew + 3*bucketLength)
		writer.Sweep(context.Background(), func(int) bool { return true })
		err = writer.Claim(context.Background(), key, "second#0", nil)
		if !api.IsCode(err, api.CodeKeyExpired) {
			t.Fatalf("got %v", err)
		}
		writer.Wait()
	})
}

func TestAnotherBodyConflicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writer := NewWriter(platformsim.NewStore(platformsim.Options{}), metrics.NewSet(), time.Now)
		id, err := uuid.NewV7()
		if err != nil {
			t.Fatal(err)
		}
		key := Key{Tenant: "tenant", ID: id}
		if err := writer.Claim(context.Background(), key, "first#0", []byte("one")); err != nil {
			t.Fatal(err)
		}
		if err := writer.Claim(context.Background(), key, "second#0", []byte("two")); !api.IsCode(err, api.CodeKeyConflict) {
			t.Fatalf("got %v", err)
		}
		if err := writer.Withdraw(context.Background(), key, "first#0"); err != nil {
			t.Fatal(err)
		}
		if err := writer.Claim(context.Background(), key, "third#0", []byte("two")); err != nil {
			t.Fatalf("a withdrawn key must be usable: %v", err)
		}
		writer.Wait()
	})
}

func TestOutageIsReportedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformsim.NewFaultyStore(platformsim.NewStore(platformsim.Options{}), func(bool) platformsim.Effect { return platformsim.Reject })
		writer := NewWriter(store, metrics.NewSet(), time.Now)
		id, err := uuid.NewV7()
		if err != nil {
			t.Fatal(err)
		}
		err = writer.Claim(context.Background(), Key{Tenant: "tenant", ID: id}, "first#0", nil)
		apiErr := api.AsError(err, api.OutcomeUnknown)
		if apiErr.Code != api.CodeClaimUnavailable || apiErr.Outcome != api.OutcomeNotRun || apiErr.RetryAfter == 0 {
			t.Fatalf("got %v", apiErr)
		}
		writer.Wait()
	})
}

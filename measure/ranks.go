package measure

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/dispatch"
	"github.com/foxtailstack/foxtailstack/internal/clock"
)

const (
	ranksCount   = 12
	ranksEntries = 5
	// ranksSlow is the pace of rank 1 in the second half of a run.
	ranksSlow = 1.6
	// ranksShift is the time between two shifts of demand, after each of which the
	// experts' work has the skew ranksUneven for ranksPlan.
	ranksShift  = 4 * time.Second
	ranksPlan   = 800 * time.Millisecond
	ranksUneven = 2.0
	// ranksTold is the time between two reports, ranksAge how old they are then.
	ranksTold = 200 * time.Millisecond
	ranksAge  = 100 * time.Millisecond
	// ranksWay is the time from an entry to a rank.
	ranksWay = 2 * time.Millisecond
	// ranksPasses is the mean number of passes that an answer takes, ranksPrompt
	// the mean of tokens in a prompt; one in ranksLarge has ten times as many.
	ranksPasses = 16
	ranksPrompt = 300
	ranksLarge  = 20
	// ranksObjective is when an answer should have begun, ranksGap the longest
	// pause in one that is on time, ranksPatience when the caller leaves if it has
	// not begun, ranksDeadline when it leaves in any case.
	ranksObjective = 400 * time.Millisecond
	ranksGap       = 120 * time.Millisecond
	ranksPatience  = 2 * time.Second
	ranksDeadline  = 8 * time.Second
	// ranksFirst is the usual time from the sending to the first event.
	ranksFirst = 180 * time.Millisecond
	// ranksTime is how long each policy runs under each load.
	ranksTime = 8 * time.Second
	// ranksCall is the mean time that a stream is at a rank of the loaded group; it
	// turns loads into rates.
	ranksCall = 1600 * time.Millisecond
)

// ranksLoads are the loads compared, in percent of what the group can take.
var ranksLoads = []int{50, 80, 95, 140}

// ranks is one run of one policy under one load.
type ranks struct {
	group   *rankGroup
	entries []rankPolicy

	mu sync.Mutex
	// asked counts the requests, and the next four how they ended; refusals counts
	// the attempts that a full rank refused.
	asked, onTime, late, lost, refused int
	refusals                           int
	// first holds the times to the first event, told those to a refusal.
	first, told []time.Duration
}

// Ranks compares policies of choosing a rank of a group that works in lock-step:
// the fewest requests of the entry's own, the fewest told, and the system's. A pass
// takes as long as the most loaded rank; one rank becomes slow, and demand shifts.
// It runs in the runtime's time, a minute and a half in all.
func Ranks(ctx context.Context, options Options) error {
	for _, load := range ranksLoads {
		for _, policy := range []string{"least", "shortest", "ours"} {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			err := options.Report(runRanks(ctx, options.Seed, policy, load, ranksTime).line(policy, load))
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// runRanks runs one policy under one load for a time.
func runRanks(ctx context.Context, seed uint64, policy string, load int, length time.Duration) *ranks {
	r := &ranks{group: newRankGroup(ranksCount)}
	for range ranksEntries {
		r.entries = append(r.entries, newRankPolicy(policy, ranksCount))
	}
	ctx, cancel := context.WithCancel(ctx)
	var helpers, calls sync.WaitGroup
	helpers.Go(func() { r.group.run(ctx) })
	helpers.Go(func() { r.report(ctx) })
	helpers.Go(func() { r.shift(ctx) })
	helpers.Go(func() { r.slow(ctx, length/2) })
	random := rand.New(rand.NewPCG(seed, uint64(load)))
	rate := float64(load) / 100 * ranksCount * ranksSlots / ranksCall.Seconds()
	for began := time.Now(); time.Since(began) < length; {
		policy := r.entries[random.IntN(ranksEntries)]
		prompt, passes := drawRequest(random)
		calls.Go(func() { r.call(ctx, policy, prompt, passes) })
		pause := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if clock.Sleep(ctx, pause) != nil {
			break
		}
	}
	calls.Wait()
	cancel()
	helpers.Wait()
	return r
}

// drawRequest returns the tokens of a prompt and the passes of its answer.
func drawRequest(random *rand.Rand) (prompt, passes int) {
	prompt = 1 + int(random.ExpFloat64()*ranksPrompt)
	if random.IntN(ranksLarge) == 0 {
		prompt *= 10
	}
	return prompt, 1 + int((random.ExpFloat64()+random.ExpFloat64())/2*ranksPasses)
}

// report tells all entries the state of the ranks from time to time.
func (r *ranks) report(ctx context.Context) {
	for clock.Sleep(ctx, ranksTold-ranksAge) == nil {
		running, pace := r.group.state()
		if clock.Sleep(ctx, ranksAge) != nil {
			return
		}
		for _, entry := range r.entries {
			entry.told(running, pace, ranksAge)
		}
	}
}

// shift makes the experts' work uneven after each shift of demand.
func (r *ranks) shift(ctx context.Context) {
	for clock.Sleep(ctx, ranksShift-ranksPlan) == nil {
		r.group.setSkew(ranksUneven)
		if clock.Sleep(ctx, ranksPlan) != nil {
			return
		}
		r.group.setSkew(1)
	}
}

// slow makes a rank slow after a time.
func (r *ranks) slow(ctx context.Context, after time.Duration) {
	if clock.Sleep(ctx, after) != nil {
		return
	}
	r.group.setPace(1, ranksSlow)
}

// call makes one request from an entry.
func (r *ranks) call(ctx context.Context, policy rankPolicy, prompt, passes int) {
	came := time.Now()
	pass := policy.pass()
	first := max(ranksFirst, 2*pass)
	ask := dispatch.Request{
		Service:          ranksService,
		Grouped:          true,
		SoftDeadline:     came.Add(ranksObjective - ranksFirst),
		Deadline:         came.Add(ranksDeadline),
		MinServiceTime:   first + time.Duration(passes)*pass,
		AbandonAt:        came.Add(ranksPatience),
		TimeToFirstEvent: first,
		Excluded:         map[foxtailstack.UpstreamName]bool{},
	}
	ctx, cancel := context.WithDeadline(ctx, ask.Deadline)
	defer cancel()
	for range attempts {
		rank, done, err := policy.acquire(ctx, ask)
		if err != nil {
			r.refuse(time.Since(came), errors.Is(err, dispatch.ErrOverloaded))
			return
		}
		_ = clock.Sleep(ctx, ranksWay) // a deadline that passes is seen by watch
		stream := &rankStream{
			unread: prompt,
			left:   passes,
			events: make(chan time.Duration, passes),
		}
		if !r.group.add(rank, stream) {
			done(dispatch.Refused)
			r.refuseAttempt()
			ask.Excluded[rankName(rank)] = true
			continue
		}
		r.watch(ctx, policy, stream, came)
		done(dispatch.Answered)
		return
	}
	r.refuse(time.Since(came), true)
}

// watch follows a stream to its end.
func (r *ranks) watch(ctx context.Context, policy rankPolicy, stream *rankStream, came time.Time) {
	first, longest := time.Duration(-1), time.Duration(0)
	patience := time.NewTimer(ranksPatience - time.Since(came))
	defer patience.Stop()
	for {
		select {
		case <-patience.C:
			r.group.drop(stream)
			r.end(first, longest, false)
			return
		case <-ctx.Done():
			r.group.drop(stream)
			r.end(first, longest, false)
			return
		case pause, ok := <-stream.events:
			if !ok {
				r.end(first, longest, true)
				return
			}
			if first < 0 {
				first = time.Since(came)
				patience.Stop()
				continue
			}
			longest = max(longest, pause)
			policy.paused(pause)
		}
	}
}

// refuseAttempt counts an attempt that a rank refused.
func (r *ranks) refuseAttempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals++
}

// refuse counts a request that was not run, and when its caller was told.
func (r *ranks) refuse(after time.Duration, told bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked++
	if !told {
		r.lost++
		return
	}
	r.refused++
	r.told = append(r.told, after)
}

// end counts a request that was run.
func (r *ranks) end(first, longest time.Duration, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked++
	switch {
	case !whole:
		r.lost++
		return
	case first <= ranksObjective && longest <= ranksGap:
		r.onTime++
	default:
		r.late++
	}
	r.first = append(r.first, first)
}

// line returns the results.
func (r *ranks) line(policy string, load int) Line {
	asked := float64(max(r.asked, 1))
	return Line{
		{
			Key:   "policy",
			Value: policy,
		},
		{
			Key:   "load",
			Value: load,
		},
		{
			Key:   "asked",
			Value: r.asked,
		},
		{
			Key:   "ontime_share",
			Value: float64(r.onTime) / asked,
		},
		{
			Key:   "late_share",
			Value: float64(r.late) / asked,
		},
		{
			Key:   "refused_share",
			Value: float64(r.refused) / asked,
		},
		{
			Key:   "lost_share",
			Value: float64(r.lost) / asked,
		},
		{
			Key:   "refused_attempts",
			Value: r.refusals,
		},
		{
			Key:   "p50",
			Value: quantile(r.first, 0.5),
		},
		{
			Key:   "p99",
			Value: quantile(r.first, 0.99),
		},
		{
			Key:   "told",
			Value: quantile(r.told, 0.5),
		},
		{
			Key:   "pass",
			Value: (r.group.spent / time.Duration(max(r.group.passes, 1))).Round(time.Millisecond),
		},
	}
}

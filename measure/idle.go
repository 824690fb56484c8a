package measure

import (
	"context"
	"net"
	"runtime"
	"syscall"
	"time"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/keys"
	"github.com/foxtailstack/foxtailstack/wire"
)

const (
	// settleTime lets connections find the size of their packets.
	settleTime = 13 * time.Second
	// idleTime is how long connections are watched after that.
	idleTime = 10 * time.Second
	// idleKind is the kind of the streams that open connections.
	idleKind wire.Kind = "idle"
)

// idlePeers are the numbers of peers that a process is connected to.
var idlePeers = []int{50, 200}

// idleMessage is the message that opens a connection.
type idleMessage struct {
	N int `cbor:"1,keyasint"`
}

// Idle measures what connections to peers cost while nothing is asked: bytes a
// second of both directions, processor time as a share of a core, and memory.
// Processor time and memory are those of both ends.
func Idle(ctx context.Context, options Options) error {
	for _, n := range idlePeers {
		line, err := idle(ctx, n, idleTime)
		if err != nil {
			return err
		}
		err = options.Report(line)
		if err != nil {
			return err
		}
	}
	return nil
}

// idle connects a client n times to a peer, each time through a meter as if to
// another peer, and watches for a time.
func idle(ctx context.Context, n int, watch time.Duration) (Line, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	config, err := keys.NewLoopback()
	if err != nil {
		return nil, err
	}
	addr, err := startPeer(ctx, config)
	if err != nil {
		return nil, err
	}
	before := memoryInUse()
	client := wire.NewClient(config.Peer)
	defer client.Close()
	meters := make([]*meter, 0, n)
	defer func() {
		for _, m := range meters {
			m.close()
		}
	}()
	for range n {
		m, err := newMeter(addr)
		if err != nil {
			return nil, err
		}
		meters = append(meters, m)
		var answer idleMessage
		err = client.Call(ctx, m.address(), idleKind, idleMessage{}, &answer)
		if err != nil {
			return nil, err
		}
	}
	time.Sleep(settleTime)
	memory := memoryInUse() - before
	bytes, cpu := sumBytes(meters), processorTime()
	time.Sleep(watch)
	seconds := watch.Seconds()
	return Line{
		{
			Key:   "peers",
			Value: n,
		},
		{
			Key:   "bytes",
			Value: float64(sumBytes(meters)-bytes) / seconds,
		},
		{
			Key:   "cpu",
			Value: (processorTime() - cpu).Seconds() / seconds,
		},
		{
			Key:   "memory",
			Value: float64(memory) / float64(n),
		},
	}, nil
}

// startPeer starts a peer that answers messages and returns its address.
func startPeer(ctx context.Context, config keys.Config) (net.Addr, error) {
	mux := &wire.Mux{}
	mux.Handle(idleKind, func(_ context.Context, s *wire.Stream) {
		var message idleMessage
		if s.Receive(&message) == nil {
			_ = s.Send(message) // the client may be gone
		}
	})
	addr, err := mux.Listen("127.0.0.1:0", config.Peer)
	if err != nil {
		return nil, err
	}
	go func() { _ = mux.Serve(ctx) }()
	return addr, nil
}

// sumBytes returns the bytes that meters have counted.
func sumBytes(meters []*meter) foxtailstack.Bytes {
	sum := foxtailstack.Bytes(0)
	for _, m := range meters {
		sum += foxtailstack.Bytes(m.bytes.Load())
	}
	return sum
}

// memoryInUse returns the memory in use after a collection.
func memoryInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	if err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

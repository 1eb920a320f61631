package keeper

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cactusstream.example/core/codec"
	"cactusstream.example/core/consensus"
	"cactusstream.example/core/events"
	"cactusstream.example/core/link"
	"cactusstream.example/core/wal"
)

const (
	methodMessage   = "keeper.message"
	peerQueueLength = 256 // messages
	sendTimeout     = time.Second
)

// envelope is a consensus message with the nonce and the address of its sender.
type envelope struct {
	Message consensus.Message `codec:"message"`
	Nonce   string            `codec:"nonce"`
	Address string            `codec:"address"`
}

// transport sends consensus messages to the other keepers. Each peer has its own
// queue and sender goroutine, so that an unreachable peer does not delay the
// others. A full queue drops messages, which consensus sends again.
//
// Lock order: no other lock of this package is taken while transport.mu is held.
type transport struct {
	self    Identity
	address string
	disk    wal.Disk
	pool    *link.Pool
	log     *events.Logger
	stop    context.Context

	mu        sync.Mutex
	addresses map[string]string
	nonces    map[string]string
	queues    map[string]chan consensus.Message
}

func newTransport(ctx context.Context, self Identity, address string, disk wal.Disk, pool *link.Pool, log *events.Logger) (*transport, error) {
	tra := &transport{
		self:      self,
		address:   address,
		disk:      disk,
		pool:      pool,
		log:       log,
		stop:      ctx,
		addresses: make(map[string]string),
		nonces:    make(map[string]string),
		queues:    make(map[string]chan consensus.Message),
	}
	names, err := disk.List()
	if err != nil {
		return nil, fmt.Errorf("transport: %w", err)
	}
	if slices.Contains(names, peersFile) {
		if tra.nonces, err = readFile[map[string]string](disk, peersFile); err != nil {
			return nil, fmt.Errorf("transport: %w", err)
		}
	}
	return tra, nil
}

// verifySender checks the nonce of the sender and stores its address. The first
// nonce that is seen for an ID is stored on disk; others are rejected.
func (tr *transport) verifySender(env envelope) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	id := env.Message.From
	known, ok := tr.nonces[id]
	if ok && known != env.Nonce {
		tr.log.Write(events.KeeperStranger, logrus.Fields{"id": id})
		return false
	}
	if !ok {
		tr.nonces[id] = env.Nonce
		if err := tr.storeNonces(); err != nil {
			delete(tr.nonces, id)
			tr.log.Write(events.KeeperDiskFailed, logrus.Fields{"error": err.Error()})
			return false
		}
	}
	tr.addresses[id] = env.Address
	return true
}

// setAddresses stores the peer addresses of a group.
func (tr *transport) setAddresses(config consensus.Config) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, mem := range config.Members {
		tr.addresses[mem.ID] = mem.PeerAddress
	}
}

// knownAddresses returns the peer addresses of the group's members and of all keepers
// that sent a message.
func (tr *transport) knownAddresses() []string {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return slices.Collect(maps.Values(tr.addresses))
}

// send queues a message and never blocks.
func (tr *transport) send(msg consensus.Message) {
	tr.mu.Lock()
	queue, ok := tr.queues[msg.To]
	if !ok {
		queue = make(chan consensus.Message, peerQueueLength)
		tr.queues[msg.To] = queue
		go tr.sendLoop(msg.To, queue)
	}
	tr.mu.Unlock()
	select {
	case queue <- msg:
	default:
	}
}

func (tr *transport) sendLoop(id string, queue chan consensus.Message) {
	for {
		select {
		case msg := <-queue:
			tr.sendOne(id, msg)
		case <-tr.stop.Done():
			return
		}
	}
}

func (tr *transport) sendOne(id string, msg consensus.Message) {
	tr.mu.Lock()
	address := tr.addresses[id]
	tr.mu.Unlock()
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(tr.stop, sendTimeout)
	defer cancel()
	// A lost message is sent again with the next heartbeat.
	_ = link.Notify(ctx, tr.pool, address, methodMessage, envelope{Message: msg, Nonce: tr.self.Nonce, Address: tr.address})
}

func (tr *transport) storeNonces() error {
	data, err := codec.Marshal(tr.nonces)
	if err != nil {
		return fmt.Errorf("store peers: %w", err)
	}
	if err := tr.disk.Replace(peersFile, data); err != nil {
		return fmt.Errorf("store peers: %w", err)
	}
	return nil
}

// memberFields returns the log fields for the members of a group.
func memberFields(config consensus.Config) logrus.Fields {
	var voters, learners []string
	for _, mem := range config.Members {
		if mem.Voter {
			voters = append(voters, mem.ID)
		} else {
			learners = append(learners, mem.ID)
		}
	}
	return logrus.Fields{"voters": strings.Join(voters, " "), "learners": strings.Join(learners, " ")}
}

package gate

import (
	"time"

	"cactusstream.example/cactusd/internal/wire"
	"cactusstream.example/core/rankqueue"
)

// heldSlot is a slot that a request holds, and what else is freed if the code of the gate
// panics before it has recorded the result.
type heldSlot struct {
	req              wire.RunRequest
	arrived, started time.Time
	work             *runningWork
	monitor          *slowMonitor
	// body and pending are those of the answer.
	body    []byte
	pending *answerStream
	// isDone is set when the attempt has ended, or its answer is passed on as a stream.
	isDone bool
	// isReleased is set when the slot is free. The lock of the guard protects it.
	isReleased bool
}

// endSlot frees what a request holds if the code of the gate panicked. The request then
// counts as cancelled: the upstream is not to blame.
func (gu *guard) endSlot(slot *heldSlot) {
	if slot.isDone {
		return
	}
	defer gu.releaseSlot(slot)
	if slot.monitor != nil {
		slot.monitor.stop()
	}
	if slot.pending != nil {
		slot.pending.drop()
	} else {
		gu.opts.Bodies.Release(slot.body)
	}
}

// releaseSlot frees a slot without a result, unless it is free.
func (gu *guard) releaseSlot(slot *heldSlot) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if slot.isReleased {
		return
	}
	slot.isReleased = true
	if slot.work != nil {
		delete(gu.work.running, slot.work)
	}
	gu.release(slot.req)
}

// abandon gives up a request of which admit panicked: it leaves the queue, or its slot is
// freed. dec is the decision on it, or Wait if the queue had not decided at once.
func (gu *guard) abandon(req wire.RunRequest, item *rankqueue.Item, dec rankqueue.Decision, decided <-chan rankqueue.Decision) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if dec == rankqueue.Wait && !gu.queue.Cancel(gu.opts.Clock.Now(), item) {
		select {
		case dec = <-decided:
		default: // It was not queued.
		}
	}
	if dec == rankqueue.Run {
		gu.release(req)
	} else if req.Trial {
		gu.trialInFlight = false
	}
}

// release frees a slot without a result. The caller holds the lock.
func (gu *guard) release(req wire.RunRequest) {
	if req.Trial {
		gu.trialInFlight = false
	}
	now := gu.opts.Clock.Now()
	gu.queue.Release(now, rankqueue.Class(req.OrganisationRank, req.Rank), 0)
	gu.scheduleStart(now)
}

package member

import (
	"math"
	"sort"
	"time"
)

// Tick lets time pass and returns the messages to send. Call it several times
// in each probe timeout.
func (ta *Table) Tick(now time.Time) []Outgoing {
	if now.Sub(ta.lastTick) > ta.opts.ProbeEvery+ta.opts.ProbeTimeout {
		ta.probe = nil // This process stood still; the silence proves nothing.
	}
	passed := now.Sub(ta.lastTick).Seconds()
	ta.newsLeft = min(ta.newsLeft+passed*ta.opts.NewsPerSecond, maxNewsSaved)
	ta.lastTick = now
	out := append(ta.expire(now), ta.askHelpers(now)...)
	if now.Before(ta.probeAt) {
		return out
	}
	ta.endProbe(now)
	ta.probeAt = now.Add(ta.opts.ProbeEvery)
	return append(out, ta.startProbe(now)...)
}

// Handle takes a message from another daemon and returns the answers.
func (ta *Table) Handle(now time.Time, msg Message) []Outgoing {
	out := ta.passOn(ta.Merge(now, msg.Records))
	out = append(out, ta.answerSuspect(msg)...)
	if ent := ta.members[msg.From]; ent != nil && msg.From != ta.self {
		ent.settings = msg.Settings
		ent.heardAt = now
	}
	switch msg.Kind {
	case Ping:
		return append(out, Outgoing{Address: msg.Address, Message: ta.message(Ack, msg.Sequence, nil)})
	case PingRequest:
		ta.sequence++
		ta.relays[ta.sequence] = relay{address: msg.Address, sequence: msg.Sequence, until: now.Add(ta.opts.ProbeEvery)}
		return append(out, Outgoing{Address: msg.Target, Message: ta.message(Ping, ta.sequence, nil)})
	case Ack:
		return append(out, ta.handleAck(msg)...)
	}
	return out
}

// answerSuspect tells a sender that this table holds it for suspect or dead,
// so that it refutes at once.
func (ta *Table) answerSuspect(msg Message) []Outgoing {
	ent := ta.members[msg.From]
	if ent == nil || ent.record.Status == Alive || msg.From == ta.self {
		return nil
	}
	return []Outgoing{{Address: msg.Address, Message: ta.message(Ack, 0, []Record{ent.record})}}
}

func (ta *Table) handleAck(msg Message) []Outgoing {
	if ta.probe != nil && ta.probe.sequence == msg.Sequence {
		ta.probe = nil
		return nil
	}
	rel, ok := ta.relays[msg.Sequence]
	if !ok {
		return nil
	}
	delete(ta.relays, msg.Sequence)
	return []Outgoing{{Address: rel.address, Message: ta.message(Ack, rel.sequence, nil)}}
}

func (ta *Table) startProbe(now time.Time) []Outgoing {
	id := ta.nextTarget()
	if id == "" {
		return nil
	}
	ta.sequence++
	ta.probe = &probe{id: id, sequence: ta.sequence, askAt: now.Add(ta.opts.ProbeTimeout), endAt: now.Add(ta.opts.ProbeEvery)}
	return []Outgoing{{Address: ta.members[id].record.PeerAddress, Message: ta.message(Ping, ta.sequence, ta.suspicionOf(id))}}
}

// suspicionOf returns the record of a suspect, for the suspect to refute.
func (ta *Table) suspicionOf(id string) []Record {
	if rec := ta.members[id].record; rec.Status != Alive {
		return []Record{rec}
	}
	return nil
}

func (ta *Table) askHelpers(now time.Time) []Outgoing {
	if ta.probe == nil || ta.probe.asked || now.Before(ta.probe.askAt) {
		return nil
	}
	ta.probe.asked = true
	target := ta.members[ta.probe.id]
	if target == nil {
		return nil
	}
	var out []Outgoing
	for _, id := range ta.pick(ta.opts.Helpers, ta.probe.id) {
		msg := ta.message(PingRequest, ta.probe.sequence, nil)
		msg.Target = target.record.PeerAddress
		out = append(out, Outgoing{Address: ta.members[id].record.PeerAddress, Message: msg})
	}
	return out
}

// endProbe makes a daemon suspect that answered neither directly nor through helpers.
func (ta *Table) endProbe(now time.Time) {
	if ta.probe == nil || now.Before(ta.probe.endAt) {
		return
	}
	ent := ta.members[ta.probe.id]
	ta.probe = nil
	if ent != nil && ent.record.Status == Alive {
		ta.setStatus(ent, Suspect, now)
	}
}

func (ta *Table) setStatus(ent *entry, status Status, now time.Time) {
	ta.changes = append(ta.changes, Change{ID: ent.record.ID, From: ent.record.Status, To: status, Record: ent.record})
	ent.record.Status = status
	ta.touch(ent, now)
}

// expire turns suspects that did not refute into dead ones, and forgets those
// that have been gone for long. A suspect is asked a last time first, and one
// that was heard since is not dead, whatever was lost on the way.
func (ta *Table) expire(now time.Time) []Outgoing {
	var out []Outgoing
	patience := time.Duration(float64(ta.opts.SuspectFor) * max(1, math.Log10(float64(len(ta.members)))))
	kept := ta.order[:0]
	for _, id := range ta.order {
		ent := ta.members[id]
		gone := now.Sub(ent.since)
		if ent.record.Status >= Dead && gone >= ta.opts.KeepGone {
			delete(ta.members, id)
			ta.revised++
			continue
		}
		kept = append(kept, id)
		if ent.record.Status != Suspect || gone < patience {
			continue
		}
		switch {
		case !ent.asked:
			ent.asked = true
			out = append(out, Outgoing{Address: ent.record.PeerAddress, Message: ta.message(Ping, 0, ta.suspicionOf(id))})
		case ent.heardAt.After(ent.since):
			ent.since, ent.asked = now, false
		case gone >= patience+ta.opts.ProbeEvery:
			ta.setStatus(ent, Dead, now)
		}
	}
	ta.order = kept
	for sequence, rel := range ta.relays {
		if now.After(rel.until) {
			delete(ta.relays, sequence)
		}
	}
	return out
}

// nextTarget goes through the members in an order that is shuffled each round.
func (ta *Table) nextTarget() string {
	for range len(ta.order) {
		if ta.next >= len(ta.order) {
			ta.next = 0
			ta.rng.Shuffle(len(ta.order), func(i, j int) { ta.order[i], ta.order[j] = ta.order[j], ta.order[i] })
		}
		id := ta.order[ta.next]
		ta.next++
		if ta.members[id].record.Status < Dead {
			return id
		}
	}
	return ""
}

// message makes a message that carries given records and the news.
func (ta *Table) message(kind MessageKind, sequence uint64, first []Record) Message {
	msg := Message{Kind: kind, From: ta.self, Address: ta.members[ta.self].record.PeerAddress, Sequence: sequence, Settings: ta.settings, Records: first}
	size := 0
	for _, rec := range first {
		size += recordSize(rec)
	}
	for _, ent := range ta.news() {
		size += recordSize(ent.record)
		if size > ta.opts.MaxUpdateBytes && len(msg.Records) > 0 {
			break
		}
		msg.Records = append(msg.Records, ent.record)
		ent.sends--
	}
	return msg
}

// news returns the records that messages still carry, the least sent first.
func (ta *Table) news() []*entry {
	var list []*entry
	for _, ent := range ta.members {
		if ent.sends > 0 {
			list = append(list, ent)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].sends != list[j].sends {
			return list[i].sends > list[j].sends
		}
		return list[i].record.ID < list[j].record.ID
	})
	return list
}

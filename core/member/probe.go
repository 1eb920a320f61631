package member

import (
	"math"
	"sort"
	"time"
)

// Tick advances probes and timeouts to now and returns the messages to send. Call
// it several times per probe timeout.
func (ta *Table) Tick(now time.Time) []Outgoing {
	if now.Sub(ta.lastTick) > ta.opts.ProbeInterval+ta.opts.ProbeTimeout {
		ta.probe = nil // This process was paused, so a missing answer proves nothing.
	}
	elapsed := now.Sub(ta.lastTick).Seconds()
	ta.forwardTokens = min(ta.forwardTokens+elapsed*ta.opts.ForwardsPerSecond, maxForwardTokens)
	ta.lastTick = now
	out := append(ta.expire(now), ta.sendIndirectProbes(now)...)
	if now.Before(ta.nextProbeAt) {
		return out
	}
	ta.finishProbe(now)
	ta.nextProbeAt = now.Add(ta.opts.ProbeInterval)
	return append(out, ta.startProbe(now)...)
}

// Handle processes a message from another daemon and returns the messages to send.
func (ta *Table) Handle(now time.Time, msg Message) []Outgoing {
	out := ta.forward(ta.Merge(now, msg.Records))
	out = append(out, ta.reportSuspicion(msg)...)
	if ent := ta.members[msg.From]; ent != nil && msg.From != ta.self {
		ent.settingsVersion = msg.SettingsVersion
		ent.lastReceivedAt, ent.sendsDigest = now, msg.Digest != 0
	}
	switch msg.Kind {
	case Ping:
		return append(out, Outgoing{Address: msg.Address, Message: ta.newAck(msg)})
	case PingRequest:
		ta.sequence++
		ta.relays[ta.sequence] = relay{address: msg.Address, sequence: msg.Sequence, expiresAt: now.Add(ta.opts.ProbeInterval)}
		return append(out, Outgoing{Address: msg.Target, Message: ta.newMessage(Ping, ta.sequence, nil)})
	case Ack:
		return append(append(out, ta.handleAck(msg)...), ta.sendMissing(msg)...)
	}
	return out
}

// newAck returns the answer to a Ping. It carries no records to a daemon whose table is
// equal to this one.
func (ta *Table) newAck(ping Message) Message {
	if ta.countEqual(ping) {
		return ta.newHeader(Ack, ping.Sequence, nil)
	}
	return ta.newMessage(Ack, ping.Sequence, nil)
}

// sendMissing returns the pending updates for a daemon that answered a Ping without
// records and whose table differs from this one.
func (ta *Table) sendMissing(ack Message) []Outgoing {
	if ack.Digest == 0 || ta.countEqual(ack) {
		return nil
	}
	msg := ta.newMessage(Update, 0, nil)
	if len(msg.Records) == 0 {
		return nil
	}
	return []Outgoing{{Address: ack.Address, Message: msg}}
}

// countEqual reports whether the sender of a message has a table equal to this one. If
// so, the pending updates count as sent to it.
func (ta *Table) countEqual(msg Message) bool {
	if msg.Digest != ta.tableDigest() {
		return false
	}
	for _, ent := range ta.members {
		ent.sendsLeft = max(ent.sendsLeft-1, 0)
	}
	return true
}

// reportSuspicion returns a message that tells a sender that it is suspect, dead
// or left in this table, so that it can refute immediately.
func (ta *Table) reportSuspicion(msg Message) []Outgoing {
	ent := ta.members[msg.From]
	if ent == nil || ent.record.Status == Alive || msg.From == ta.self {
		return nil
	}
	return []Outgoing{{Address: msg.Address, Message: ta.newMessage(Ack, 0, []Record{ent.record})}}
}

// handleAck ends the probe that an Ack answers, or relays the Ack to the daemon that
// asked for the indirect probe.
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
	return []Outgoing{{Address: rel.address, Message: ta.newMessage(Ack, rel.sequence, nil)}}
}

func (ta *Table) startProbe(now time.Time) []Outgoing {
	id := ta.nextTarget()
	if id == "" {
		return nil
	}
	ta.sequence++
	ta.probe = &probe{id: id, sequence: ta.sequence, indirectAt: now.Add(ta.opts.ProbeTimeout), endsAt: now.Add(ta.opts.ProbeInterval)}
	ent := ta.members[id]
	if ent.sendsDigest && ent.record.Status == Alive {
		return []Outgoing{{Address: ent.record.PeerAddress, Message: ta.newHeader(Ping, ta.sequence, nil)}}
	}
	// A daemon that is suspect may receive messages although its own ones are lost.
	return []Outgoing{{Address: ent.record.PeerAddress, Message: ta.newMessage(Ping, ta.sequence, ta.suspicionFor(id))}}
}

// suspicionFor returns the record of a member that is not alive, to be sent to that
// member so that it can refute.
func (ta *Table) suspicionFor(id string) []Record {
	if rec := ta.members[id].record; rec.Status != Alive {
		return []Record{rec}
	}
	return nil
}

// sendIndirectProbes asks other daemons to ping the probed daemon once the direct
// probe has timed out.
func (ta *Table) sendIndirectProbes(now time.Time) []Outgoing {
	if ta.probe == nil || ta.probe.indirectSent || now.Before(ta.probe.indirectAt) {
		return nil
	}
	ta.probe.indirectSent = true
	target := ta.members[ta.probe.id]
	if target == nil {
		return nil
	}
	var out []Outgoing
	for _, id := range ta.pickPeers(ta.opts.IndirectProbes, ta.probe.id) {
		msg := ta.newMessage(PingRequest, ta.probe.sequence, nil)
		msg.Target = target.record.PeerAddress
		out = append(out, Outgoing{Address: ta.members[id].record.PeerAddress, Message: msg})
	}
	return out
}

// finishProbe marks the probed daemon suspect when no direct or indirect answer
// arrived in time.
func (ta *Table) finishProbe(now time.Time) {
	if ta.probe == nil || now.Before(ta.probe.endsAt) {
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
	ta.markChanged(ent, now)
}

// expire marks suspects dead that did not refute within the suspicion timeout, and
// removes members that have been dead or left for GoneRetention. A suspect gets a
// final ping first. If any message from it arrived since it became suspect, the
// timeout starts again, because its refutation may just have been lost.
func (ta *Table) expire(now time.Time) []Outgoing {
	var out []Outgoing
	suspicionTimeout := time.Duration(float64(ta.opts.SuspicionTimeout) * max(1, math.Log10(float64(len(ta.members)))))
	remaining := ta.order[:0]
	for _, id := range ta.order {
		ent := ta.members[id]
		age := now.Sub(ent.changedAt)
		if ent.record.Status >= Dead && age >= ta.opts.GoneRetention {
			delete(ta.members, id)
			ta.revision++
			continue
		}
		remaining = append(remaining, id)
		if ent.record.Status != Suspect || age < suspicionTimeout {
			continue
		}
		switch {
		case !ent.finalPingSent:
			ent.finalPingSent = true
			out = append(out, Outgoing{Address: ent.record.PeerAddress, Message: ta.newMessage(Ping, 0, ta.suspicionFor(id))})
		case ent.lastReceivedAt.After(ent.changedAt):
			ent.changedAt, ent.finalPingSent = now, false
		case age >= suspicionTimeout+ta.opts.ProbeInterval:
			ta.setStatus(ent, Dead, now)
		}
	}
	ta.order = remaining
	for sequence, rel := range ta.relays {
		if now.After(rel.expiresAt) {
			delete(ta.relays, sequence)
		}
	}
	return out
}

// nextTarget returns the next member to probe, round-robin in an order that is
// reshuffled after each round, or "" when there is none.
func (ta *Table) nextTarget() string {
	for range len(ta.order) {
		if ta.nextProbeIndex >= len(ta.order) {
			ta.nextProbeIndex = 0
			ta.rng.Shuffle(len(ta.order), func(i, j int) { ta.order[i], ta.order[j] = ta.order[j], ta.order[i] })
		}
		id := ta.order[ta.nextProbeIndex]
		ta.nextProbeIndex++
		if ta.members[id].record.Status < Dead {
			return id
		}
	}
	return ""
}

// newHeader returns a message that carries some records.
func (ta *Table) newHeader(kind MessageKind, sequence uint64, records []Record) Message {
	return Message{
		Kind: kind, From: ta.self, Address: ta.members[ta.self].record.PeerAddress, Sequence: sequence,
		SettingsVersion: ta.settingsVersion, Records: records, Digest: ta.tableDigest(),
	}
}

// newMessage returns a message that carries the first records and, as far as
// MaxUpdateBytes allows, pending updates.
func (ta *Table) newMessage(kind MessageKind, sequence uint64, first []Record) Message {
	msg := ta.newHeader(kind, sequence, first)
	size := 0
	for _, rec := range first {
		size += recordSize(rec)
	}
	for _, ent := range ta.pendingUpdates() {
		size += recordSize(ent.record)
		if size > ta.opts.MaxUpdateBytes && len(msg.Records) > 0 {
			break
		}
		msg.Records = append(msg.Records, ent.record)
		ent.sendsLeft--
	}
	return msg
}

// pendingUpdates returns the entries whose records messages still have to carry,
// those sent least often first.
func (ta *Table) pendingUpdates() []*entry {
	var entries []*entry
	for _, ent := range ta.members {
		if ent.sendsLeft > 0 {
			entries = append(entries, ent)
		}
	}
	sort.Slice(entries, func(i, j int) bool {
		if entries[i].sendsLeft != entries[j].sendsLeft {
			return entries[i].sendsLeft > entries[j].sendsLeft
		}
		return entries[i].record.ID < entries[j].record.ID
	})
	return entries
}

package server_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactusstream.example/core/settings"
	"cactusstream.example/core/wal"
)

// fullDisk is a Disk that refuses all writes while it is full. The first write that it
// refuses stores a part of its data.
type fullDisk struct {
	wal.Folder
	isFull atomic.Bool
	isTorn atomic.Bool
}

type fullFile struct {
	wal.File
	disk *fullDisk
}

func (fd *fullDisk) setFull(isFull bool) {
	fd.isTorn.Store(isFull)
	fd.isFull.Store(isFull)
}

func (fd *fullDisk) check() error {
	if fd.isFull.Load() {
		return syscall.ENOSPC
	}
	return nil
}

func (fd *fullDisk) Append(name string) (wal.File, error) {
	file, err := fd.Folder.Append(name)
	return &fullFile{File: file, disk: fd}, err
}

func (fd *fullDisk) Replace(name string, data []byte) error {
	if err := fd.check(); err != nil {
		return err
	}
	return fd.Folder.Replace(name, data)
}

func (fd *fullDisk) Truncate(name string, size int64) error {
	if err := fd.check(); err != nil {
		return err
	}
	return fd.Folder.Truncate(name, size)
}

func (ff *fullFile) Write(data []byte) (int, error) {
	if err := ff.disk.check(); err != nil {
		if ff.disk.isTorn.CompareAndSwap(true, false) {
			count, _ := ff.File.Write(data[:len(data)/2])
			return count, err
		}
		return 0, err
	}
	return ff.File.Write(data)
}

func (ff *fullFile) WriteAt(data []byte, offset int64) (int, error) {
	if err := ff.disk.check(); err != nil {
		return 0, err
	}
	return ff.File.WriteAt(data, offset)
}

// TestChangesGoOnAfterDisksWereFull fills the disks of all keepers in turn, never two at
// a time, while settings change. Once the last disk has room again, changes must be
// accepted within the time that the platform allows, every keeper must take part, and
// none may hold more files open than before.
func TestChangesGoOnAfterDisksWereFull(t *testing.T) {
	const ackTime = 4 * time.Second
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	gr := newGroup(t, groupSize)
	gr.disks = make(map[string]*fullDisk)
	for index := range groupSize {
		gr.start(index, true)
	}
	gr.until("complete group", func() bool { return gr.voters() == groupSize })
	gr.change(1, 0)
	filesBefore := openDataFiles(t, gr)

	ctx, cancel := context.WithCancel(context.Background())
	var writer sync.WaitGroup
	label := uint64(1)
	writer.Go(func() {
		for ctx.Err() == nil {
			gr.change(label+1, label)
			label++
			time.Sleep(20 * time.Millisecond)
		}
	})
	for range 2 {
		for _, index := range rng.Perm(groupSize) {
			disk := gr.disks[gr.folder(index)]
			disk.setFull(true)
			time.Sleep(time.Duration(500+rng.IntN(2000)) * time.Millisecond)
			disk.setFull(false)
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		}
	}
	hasRoomAt := time.Now()
	cancel()
	writer.Wait()
	gr.change(label+1, label)
	if took := time.Since(hasRoomAt); took > ackTime {
		t.Errorf("a change was accepted %s after the last disk had room, want %s at most", took, ackTime)
	}
	for index, nd := range gr.nodes {
		gr.until(fmt.Sprintf("newest change at keeper %d", index), func() bool {
			var applied uint64
			nd.server.Keeper().View(func(store *settings.Store) { applied = store.Label() })
			return applied == label+1
		})
	}
	if took := time.Since(hasRoomAt); took > 2*ackTime {
		t.Errorf("all keepers have the change %s after the last disk had room", took)
	}
	is.True(openDataFiles(t, gr) <= filesBefore)
	is.Equal(gr.newest(), label+1)
}

// openDataFiles returns how many files in the data folders of a group are open.
func openDataFiles(t *testing.T, gr *group) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("the platform doesn't list open files")
	}
	count := 0
	for _, entry := range entries {
		target, err := os.Readlink("/proc/self/fd/" + entry.Name())
		if err == nil && len(target) > len(gr.dir) && target[:len(gr.dir)] == gr.dir {
			count++
		}
	}
	return count
}

package wal

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
)

// Disk is the storage of a Log: a flat folder of files.
type Disk interface {
	// Append opens a file for appending and creates it if needed.
	Append(name string) (File, error)
	// List returns the names of the files, sorted.
	List() ([]string, error)
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// Remove deletes a file.
	Remove(name string) error
	// Replace atomically replaces the content of a file and syncs it.
	Replace(name string, data []byte) error
	// Truncate truncates a file to size and syncs it.
	Truncate(name string, size int64) error
}

// File is an open file of a Disk.
type File interface {
	Close() error
	Sync() error
	Write(data []byte) (int, error)
	WriteAt(data []byte, offset int64) (int, error)
}

// Folder is a Disk in a directory of the file system.
type Folder string

const (
	dirMode  = 0o750
	fileMode = 0o640
	tmpExt   = ".tmp"
)

// OpenFolder returns the Disk of a directory and creates the directory if needed.
func OpenFolder(path string) (Folder, error) {
	if err := os.MkdirAll(path, dirMode); err != nil {
		return "", fmt.Errorf("create data folder: %w", err)
	}
	return Folder(path), nil
}

// Append opens a file for writing at its end and creates it if needed. It syncs the
// directory, so that a new file survives a crash. It does not set O_APPEND, because
// os.File.WriteAt fails on a file that was opened with it.
func (fo Folder) Append(name string) (File, error) {
	file, err := os.OpenFile(fo.path(name), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open for append: %w", err)
	}
	if _, err := file.Seek(0, 2); err != nil {
		return nil, fmt.Errorf("seek to end: %w", errors.Join(err, file.Close()))
	}
	if err := fo.sync(); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return file, nil
}

// List returns the sorted names of the files, without the temporary files of an
// interrupted Replace.
func (fo Folder) List() ([]string, error) {
	entries, err := os.ReadDir(string(fo))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("list data folder: %w", err)
	}
	var names []string
	for _, entry := range entries {
		if filepath.Ext(entry.Name()) != tmpExt {
			names = append(names, entry.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// Read returns the content of a file.
func (fo Folder) Read(name string) ([]byte, error) {
	data, err := os.ReadFile(fo.path(name))
	if err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	return data, nil
}

// Remove deletes a file.
func (fo Folder) Remove(name string) error {
	if err := os.Remove(fo.path(name)); err != nil {
		return fmt.Errorf("remove: %w", err)
	}
	return nil
}

// Replace writes a temporary file, syncs it, renames it over the target and syncs
// the directory.
func (fo Folder) Replace(name string, data []byte) error {
	tmp := fo.path(name + tmpExt)
	if err := writeFileSynced(tmp, data); err != nil {
		return err
	}
	if err := os.Rename(tmp, fo.path(name)); err != nil {
		return fmt.Errorf("rename: %w", err)
	}
	return fo.sync()
}

// Truncate truncates a file to size and syncs it.
func (fo Folder) Truncate(name string, size int64) error {
	file, err := os.OpenFile(fo.path(name), os.O_RDWR, fileMode)
	if err != nil {
		return fmt.Errorf("open to truncate: %w", err)
	}
	if err := errors.Join(file.Truncate(size), file.Sync(), file.Close()); err != nil {
		return fmt.Errorf("truncate: %w", err)
	}
	return nil
}

func (fo Folder) path(name string) string {
	return filepath.Join(string(fo), name)
}

// sync syncs the directory, so that created and renamed files survive a crash.
func (fo Folder) sync() error {
	dir, err := os.Open(string(fo))
	if err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	if err := errors.Join(dir.Sync(), dir.Close()); err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	return nil
}

// writeFileSynced creates or overwrites a file and syncs it.
func writeFileSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("write temporary file: %w", err)
	}
	_, err = file.Write(data)
	if err := errors.Join(err, file.Sync(), file.Close()); err != nil {
		return fmt.Errorf("write temporary file: %w", err)
	}
	return nil
}

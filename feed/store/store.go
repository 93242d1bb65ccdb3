// Package store reads the configuration from the platform's object API, the store. The
// head object names the revision in force and, by their hashes, the parts that hold its
// content. Each earlier head is kept as an immutable copy; see core/config.
package store

import (
	"context"

	"golang.org/x/sync/errgroup"

	"acaciawinch/core/config"
	"acaciawinch/core/fault"
	"acaciawinch/platform/objects"
)

// Reader reads configuration objects. It may be used by many goroutines.
type Reader struct {
	api objects.API
}

// NewReader returns a Reader of api.
func NewReader(api objects.API) Reader { return Reader{api: api} }

// Head returns the head in force and the version of its object. Before the first change
// it returns the head of the empty configuration and version 0. It makes one call.
func (r Reader) Head(ctx context.Context) (config.Head, uint64, error) {
	object, err := r.api.Get(ctx, config.HeadKey)
	if fault.Is(err, fault.NotFound) {
		return config.Empty().Head("", "", ""), 0, nil
	}
	if err != nil {
		return config.Head{}, 0, err
	}
	head, err := config.DecodeHead(object.Value)
	return head, object.Version, err
}

// maxConcurrentLoads bounds the concurrent calls of one Load.
const maxConcurrentLoads = 16

// Load returns the snapshot with all its parts. It makes one call for each missing part.
func (r Reader) Load(ctx context.Context, snapshot *config.Snapshot) (*config.Snapshot, error) {
	hashes := snapshot.Missing()
	parts := make([][]byte, len(hashes))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentLoads)
	for i, hash := range hashes {
		group.Go(func() error {
			object, err := r.api.Get(ctx, config.PartKey(hash))
			parts[i] = object.Value
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for i, hash := range hashes {
		var err error
		if snapshot, err = snapshot.WithPart(hash, parts[i]); err != nil {
			return nil, err
		}
	}
	return snapshot, nil
}

// Copy returns the immutable copy of a head stored under key. It makes one call.
func (r Reader) Copy(ctx context.Context, key string) (config.Head, error) {
	object, err := r.api.Get(ctx, key)
	if err != nil {
		return config.Head{}, err
	}
	return config.DecodeHead(object.Value)
}

// Walk calls visit with the head in force and each earlier head, the latest first,
// until visit returns false or the oldest stored head was visited. It makes one call
// for each earlier head.
func (r Reader) Walk(ctx context.Context, head config.Head, visit func(config.Head) bool) error {
	oldest := head.Oldest
	for head.Revision > 0 && visit(head) && head.Parent != "" && head.Revision > oldest {
		older, err := r.Copy(ctx, head.Parent)
		if err != nil {
			return err
		}
		head = older
	}
	return nil
}
